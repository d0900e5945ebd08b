/** The list of requests that a backend server started and ended. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HistoryRecord } from "./history_record.ts";

/** What is known of a request besides its method, path and headers. */
export type RequestFacts = Pick<
  HistoryRecord,
  "marker" | "promptTokens" | "cachedTokens"
>;

/** Records every request once, in the order of starting. */
export class History {
  readonly #server: string;
  readonly #records: HistoryRecord[] = [];

  constructor(server: string) {
    this.#server = server;
  }

  /** A request starts to run; its record changes as it ends. */
  start(
    request: IncomingMessage,
    facts: RequestFacts,
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
      ...facts,
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

/** Sets the outcome when the answer's connection is done with. */
export function followAnswer(
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

/** The server itself ends the request without its whole answer. */
export function failRecord(record: HistoryRecord, now: number): void {
  record.outcome = "failed";
  record.endedAt = now;
}
