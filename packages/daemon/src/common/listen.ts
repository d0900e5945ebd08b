/** Starting servers. @module */
import { once } from "node:events";
import type { AddressInfo, Server } from "node:net";
import type { Address } from "./settings.ts";

/** Listens at `address`; resolves to the port, which was free to choose if 0. */
export async function listen(
  server: Server,
  address: Address,
): Promise<number> {
  server.listen(address.port, address.host);
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}
