/** Starts servers listening. @module */
import type { AddressInfo, Server } from "node:net";
import type { Address } from "./settings.ts";

/** Listens at `address` and returns the port; the system chooses it if 0. */
export function listen(server: Server, address: Address): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}
