/** Binds servers to their addresses. @module */
import { once } from "node:events";
import type { AddressInfo, Server } from "node:net";
import type { Address } from "./settings.ts";

/**
 * Starts to listen at `address` and resolves to the port in use. With port 0
 * the operating system chooses a free one.
 */
export async function listen(
  server: Server,
  address: Address,
): Promise<number> {
  server.listen(address.port, address.host);
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}
