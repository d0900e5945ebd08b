/** Binds servers to their addresses. @module */
import { once } from "node:events";
import type { AddressInfo, Server } from "node:net";
import type { Address } from "./settings.ts";

const DEFAULT_BACKLOG = 511;

/**
 * Starts to listen at `address` and resolves to the port in use. With port 0
 * the operating system chooses a free one. `backlog`: maximum number of
 * connections that wait to be accepted.
 */
export async function listen(
  server: Server,
  address: Address,
  backlog = DEFAULT_BACKLOG,
): Promise<number> {
  server.listen(address.port, address.host, backlog);
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}
