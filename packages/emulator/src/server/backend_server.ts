/** Common parts of the emulated backend servers. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { handleControlRequest } from "../faults/control_routes.ts";
import type { FaultInjector } from "../faults/fault_injector.ts";
import type { Faults, FaultsInput } from "../faults/faults.ts";
import type { History } from "../history/history.ts";
import type { HistoryRecord } from "../history/history_record.ts";
import { ArrivalRate } from "./arrival_rate.ts";
import { listen } from "./emulated_server.ts";
import type { EmulatedServer, ListenOptions } from "./emulated_server.ts";
import { sendJson, toRequestListener } from "./http_messages.ts";

/** Path of the health check, which is not turned away. */
const HEALTH_PATH = "/health";

/** A started backend server with its history and faults. */
export type BackendServer = EmulatedServer & {
  readonly records: readonly HistoryRecord[];
  setFaults(faults: FaultsInput): void;
};

/** Handles the requests of one kind of backend server. */
export type RequestHandler = {
  history: History;
  faultInjector: FaultInjector;
  handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void>;
  stop(): void;
};

/**
 * Starts a backend server. An emulated crash calls `onCrash`, which exits the
 * process if the server runs in one of its own. By default a crash closes the
 * listening socket and every connection. With another `crashShape` the server
 * stays, and responds to control requests only.
 */
export async function startBackendServer(
  createHandler: (onCrash: () => void) => RequestHandler,
  options: ListenOptions & { onCrash?: (() => void) | undefined },
): Promise<BackendServer> {
  let isMute = false;
  const end = options.onCrash ?? (() => void close());
  const onCrash = () => {
    const { crashShape } = handler.faultInjector.faults;
    if (crashShape === "refused") {
      end();
      return;
    }
    isMute = true;
    handler.stop();
    if (crashShape === "accepted") server.closeConnections();
  };
  const handler = createHandler(onCrash);
  const arrivalRate = new ArrivalRate();
  const server = await listen(
    toRequestListener(async (request, response) => {
      if (await handleControlRequest(request, response, handler)) return;
      if (isMute) return;
      const { faults } = handler.faultInjector;
      stateNotices(response, faults);
      if (faults.turnAway !== undefined && request.url !== HEALTH_PATH) {
        sendJson(response, 503, { error: { message: "overloaded" } });
        return;
      }
      if (request.url !== HEALTH_PATH) {
        const inLastSecond = arrivalRate.record(performance.now());
        if (inLastSecond > (faults.cold?.accepted ?? Infinity)) onCrash();
      }
      await handler.handleRequest(request, response);
    }),
    options,
  );
  async function close(): Promise<void> {
    handler.stop();
    await server.close();
  }
  return {
    ...server,
    close,
    get records() {
      return handler.history.records;
    },
    setFaults: (faults) => handler.faultInjector.setFaults(faults),
  };
}

/** Sets the headers in which the server states something about itself. */
function stateNotices(response: ServerResponse, faults: Faults): void {
  const { leavingHeader, turnAway } = faults;
  const limit = faults.cold ?? faults.statedLimit;
  if (limit !== undefined) {
    response.setHeader(limit.header, String(limit.perSecond));
  }
  if (leavingHeader !== undefined) response.setHeader(leavingHeader, "1");
  if (turnAway?.retryAfter !== undefined) {
    response.setHeader("retry-after", String(turnAway.retryAfter));
  }
}
