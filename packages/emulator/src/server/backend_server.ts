/** What the emulated backend servers have in common once started. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { answerControl } from "../faults/control_routes.ts";
import type { FaultSwitch } from "../faults/fault_switch.ts";
import type { FaultsInput } from "../faults/faults.ts";
import type { History } from "../history/history.ts";
import type { HistoryRecord } from "../history/history_record.ts";
import { listen } from "./emulated_server.ts";
import type { EmulatedServer, ListenOptions } from "./emulated_server.ts";
import { handle } from "./http_messages.ts";

/** An emulated backend server with its history and fault switches. */
export type BackendServer = EmulatedServer & {
  readonly records: readonly HistoryRecord[];
  setFaults(faults: FaultsInput): void;
};

/** What answers the requests behind the server. */
export type Backend = {
  history: History;
  faultSwitch: FaultSwitch;
  answer(request: IncomingMessage, response: ServerResponse): Promise<void>;
  stop(): void;
};

/**
 * Starts a backend. A crash calls `onCrash`, which in a process of its own is
 * the process's exit; by default it drops the listener and every connection.
 */
export async function startBackend(
  create: (crash: () => void) => Backend,
  options: ListenOptions & { onCrash?: (() => void) | undefined },
): Promise<BackendServer> {
  const crash = options.onCrash ?? (() => void close());
  const backend = create(crash);
  const server = await listen(
    handle(async (request, response) => {
      if (await answerControl(request, response, backend)) return;
      const { statedLimit } = backend.faultSwitch.faults;
      if (statedLimit !== undefined) {
        const { header, perSecond } = statedLimit;
        response.setHeader(header, String(perSecond));
      }
      await backend.answer(request, response);
    }),
    options,
  );
  async function close(): Promise<void> {
    backend.stop();
    await server.close();
  }
  return {
    ...server,
    close,
    get records() {
      return backend.history.records;
    },
    setFaults: (faults) => backend.faultSwitch.set(faults),
  };
}
