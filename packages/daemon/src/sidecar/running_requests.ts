/** The requests that are running at the backend server. @module */
import type { HandOverMessage, ReserveMessage } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { BackendClient, RunOutcome } from "./backend_client.ts";
import type { EntryConnection } from "./entry_connection.ts";
import { RunningRequest } from "./running_request.ts";
import type { ProgressListener } from "./running_request.ts";

/**
 * Maximum milliseconds that a request marked `runToCompletion` may run. It
 * can't be retried, so it is not aborted at its caller's deadline: a payment
 * that stops midway is worse than a late one. The limit ends requests at a
 * server that hangs.
 */
const MAX_RUN_DURATION = 15 * 60 * 1000;

/** Options of {@link RunningRequests}. */
export type RunningRequestsOptions = {
  client: BackendClient;
  listener: ProgressListener;
  /**
   * Checks whether the server crashed after a connection broke. The entry is
   * notified of the failure only afterwards: a retry that reached another
   * server before the report of the crash could crash that one too.
   */
  diagnose: (request: RunningRequest) => Promise<void>;
  /** Called once for each request, after its last message has been sent. */
  onFinished: (
    request: RunningRequest,
    outcome: RunOutcome,
    now: number,
  ) => void;
};

/** A reservation whose grant was redeemed, and the request handed over. */
export type RedeemedRequest = {
  id: string;
  connection: EntryConnection;
  reserve: ReserveMessage;
  handOver: HandOverMessage;
};

/** Starts and cancels requests, and allows waiting until none is running. */
export class RunningRequests {
  readonly #options: RunningRequestsOptions;
  readonly #requests = new Map<string, RunningRequest>();
  #onIdle: (() => void) | undefined;

  constructor(options: RunningRequestsOptions) {
    this.#options = options;
  }

  has(id: string): boolean {
    return this.#requests.has(id);
  }

  /** Runs a request once; its response is streamed to the entry. */
  start(redeemed: RedeemedRequest): void {
    const { listener } = this.#options;
    const startedAt = monotonicNow();
    const request = new RunningRequest({ ...redeemed, startedAt, listener });
    this.#requests.set(request.id, request);
    void this.#run(request);
  }

  cancel(id: string): void {
    this.#requests.get(id)?.abortController.abort("cancelled");
  }

  /**
   * Cancels the requests of an entry that disconnected, except those marked
   * `runToCompletion`.
   */
  cancelForConnection(connection: EntryConnection): void {
    for (const request of this.#requests.values()) {
      if (!request.belongsTo(connection)) continue;
      if (request.handOver.runToCompletion) continue;
      request.abortController.abort("cancelled");
    }
  }

  /** Resolves once no request is running. */
  async waitUntilIdle(): Promise<void> {
    if (this.#requests.size === 0) return;
    await new Promise<void>((resolve) => this.#onIdle = resolve);
  }

  async #run(request: RunningRequest): Promise<void> {
    const { client, diagnose, onFinished } = this.#options;
    const { handOver, abortController } = request;
    const deadlineTimer = setTimeout(
      () => abortController.abort("deadline"),
      handOver.runToCompletion ? MAX_RUN_DURATION : handOver.remaining,
    );
    const outcome = await client.run(handOver, request, abortController.signal);
    clearTimeout(deadlineTimer);
    if (outcome.kind === "failed" && outcome.connectionLost) {
      await diagnose(request);
    }
    this.#requests.delete(request.id);
    if (outcome.kind === "complete") request.sendEnd();
    else request.sendFailed(outcome.ran, outcome.reason);
    onFinished(request, outcome, monotonicNow());
    if (this.#requests.size === 0) this.#onIdle?.();
  }
}
