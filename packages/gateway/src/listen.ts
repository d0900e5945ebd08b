/** Starts servers listening. @module */
import type { AddressInfo, Server } from "node:net";
import { setTimeout } from "node:timers/promises";
import type { Address } from "./settings.ts";

const DEFAULT_BACKLOG = 511;
/**
 * Milliseconds for which an address may be in use. A process that has ended, or
 * another one that was given the port by chance, may keep it for a moment.
 */
const IN_USE_PATIENCE = 5000;
/** Milliseconds between two attempts to listen. */
const RETRY_INTERVAL = 100;

/** Options of {@link listen}. */
export type ListenOptions = {
  /** Maximum number of connections that wait to be accepted. */
  backlog?: number;
  /** Called once if the address is in use. */
  onInUse: (address: Address) => void;
};

/**
 * Listens at `address` and returns the port; the system chooses it if 0. Waits
 * for an address that is in use, and rejects if it remains so.
 */
export async function listen(
  server: Server,
  address: Address,
  { backlog = DEFAULT_BACKLOG, onInUse }: ListenOptions,
): Promise<number> {
  for (let waited = 0;; waited += RETRY_INTERVAL) {
    try {
      return await listenOnce(server, address, backlog);
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      if (code !== "EADDRINUSE" || waited >= IN_USE_PATIENCE) throw error;
      if (waited === 0) onInUse(address);
      await setTimeout(RETRY_INTERVAL);
    }
  }
}

function listenOnce(
  server: Server,
  address: Address,
  backlog: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, backlog, () => {
      server.off("error", reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}
