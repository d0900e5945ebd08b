/** Starts servers listening. @module */
import type { AddressInfo, Server } from "node:net";
import type { Address } from "./settings.ts";

const DEFAULT_BACKLOG = 511;

/**
 * Listens at `address` and returns the port; the system chooses it if 0.
 * `backlog`: maximum number of connections that wait to be accepted.
 */
export function listen(
  server: Server,
  address: Address,
  backlog = DEFAULT_BACKLOG,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, backlog, () => {
      server.off("error", reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}
