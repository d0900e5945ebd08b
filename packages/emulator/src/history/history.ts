/** The requests that an emulated backend server has received. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HistoryRecord } from "./history_record.ts";

/** Details of a request that are not in its method, path and headers. */
export type RequestDetails = Pick<
  HistoryRecord,
  "marker" | "promptTokens" | "cachedTokens"
>;

/** Holds one record for each request, in the order in which they started. */
export class History {
  readonly #server: string;
  readonly #records: HistoryRecord[] = [];

  constructor(server: string) {
    this.#server = server;
  }

  /** Adds the record of a request that starts; its outcome is set later. */
  recordStart(
    request: IncomingMessage,
    details: RequestDetails,
    now: number,
  ): HistoryRecord {
    const key = request.headers["idempotency-key"];
    const record: HistoryRecord = {
      server: this.#server,
      number: this.#records.length,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      startedAt: now,
      outcome: "running",
      ...details,
    };
    if (typeof key === "string") {
      record.idempotencyKey = key;
    }
    this.#records.push(record);
    return record;
  }

  get records(): readonly HistoryRecord[] {
    return this.#records;
  }
}

/**
 * Sets the outcome once the response has been sent or its connection has
 * closed.
 */
export function recordOutcomeOnClose(
  record: HistoryRecord,
  response: ServerResponse,
): void {
  response.once("close", () => {
    if (record.outcome !== "running") {
      return;
    }
    record.outcome = response.writableFinished ? "finished" : "cancelled";
    record.endedAt = Date.now();
  });
}

/** Records that the server ended the request without a complete response. */
export function recordFailure(record: HistoryRecord, now: number): void {
  record.outcome = "failed";
  record.endedAt = now;
}
