/** Finds a free port of 127.0.0.1. @module */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * Returns a port that was free a moment ago; another process may take it
 * meanwhile. Prefer port 0 if the actual port can be read back.
 */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
