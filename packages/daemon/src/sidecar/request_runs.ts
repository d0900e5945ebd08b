/** The requests that run at the backend server now. @module */
import type { HandOverMessage, ReserveMessage } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { BackendClient, RunOutcome } from "./backend_client.ts";
import type { EntryConnection } from "./entry_connection.ts";
import { RunningRequest } from "./running_request.ts";
import type { ProgressListener } from "./running_request.ts";

/**
 * A call that can't be repeated is not stopped at its caller's deadline, since
 * half a payment is worse than a late one; a hung server must still end it.
 */
const LONGEST_RUN = 15 * 60 * 1000;

/** Options of {@link RequestRuns}. */
export type RequestRunsOptions = {
  client: BackendClient;
  listener: ProgressListener;
  /**
   * Looks at a server whose connection broke, before the entry is told: a
   * resend that overtook the news of a crash would take down another server.
   */
  diagnose: (request: RunningRequest) => Promise<void>;
  /** Told once for each run, after its last message has been sent. */
  onSettled: (
    request: RunningRequest,
    outcome: RunOutcome,
    now: number,
  ) => void;
};

/** A grant's reservation and the request that came in answer to it. */
export type RedeemedRequest = {
  id: string;
  connection: EntryConnection;
  reserve: ReserveMessage;
  handOver: HandOverMessage;
};

/** Starts runs, stops them and tells when none is left. */
export class RequestRuns {
  readonly #options: RequestRunsOptions;
  readonly #running = new Map<string, RunningRequest>();
  #onIdle: (() => void) | undefined;

  constructor(options: RequestRunsOptions) {
    this.#options = options;
  }

  has(id: string): boolean {
    return this.#running.has(id);
  }

  /** Runs a request, once; its answer goes to the entry as it comes. */
  start(redeemed: RedeemedRequest): void {
    const { listener } = this.#options;
    const startedAt = monotonicNow();
    const request = new RunningRequest({ ...redeemed, startedAt, listener });
    this.#running.set(request.id, request);
    void this.#run(request);
  }

  cancel(id: string): void {
    this.#running.get(id)?.abort.abort("cancelled");
  }

  /** The entry is gone: only what can't be repeated runs on. */
  entryGone(connection: EntryConnection): void {
    for (const request of this.#running.values()) {
      if (!request.belongsTo(connection)) continue;
      if (request.handOver.runToCompletion) continue;
      request.abort.abort("cancelled");
    }
  }

  /** Resolves once nothing runs. */
  async idle(): Promise<void> {
    if (this.#running.size === 0) return;
    await new Promise<void>((resolve) => this.#onIdle = resolve);
  }

  async #run(request: RunningRequest): Promise<void> {
    const { client, diagnose, onSettled } = this.#options;
    const { handOver, abort } = request;
    const deadline = setTimeout(
      () => abort.abort("deadline"),
      handOver.runToCompletion ? LONGEST_RUN : handOver.remaining,
    );
    const outcome = await client.run(handOver, request, abort.signal);
    clearTimeout(deadline);
    if (outcome.kind === "failed" && outcome.cut) await diagnose(request);
    this.#running.delete(request.id);
    if (outcome.kind === "whole") request.end();
    else request.fail(outcome.ran, outcome.reason);
    onSettled(request, outcome, monotonicNow());
    if (this.#running.size === 0) this.#onIdle?.();
  }
}
