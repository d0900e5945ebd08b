/** Ports of 127.0.0.1 that nothing listens on. @module */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** A port that was free a moment ago. Prefer port 0 where it can be read back. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
