/** One request at the backend server, its answer relayed as it comes. @module */
import type {
  Cost,
  FailedMessage,
  HandOverMessage,
  HttpHeaders,
  ReserveMessage,
} from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import { AnswerReceiver } from "./backend_client.ts";
import type { EntryConnection } from "./entry_connection.ts";

/** Told of an answer's progress, for the limits. */
export type ProgressListener = {
  /** `startedAt`: when the request was sent to the server. */
  onHead(headers: HttpHeaders, startedAt: number): void;
  onFirstToken(id: string, now: number): void;
  onProgress(id: string, outputTokens: number): void;
};

/** Options of {@link RunningRequest}. */
export type RunningRequestOptions = {
  id: string;
  connection: EntryConnection;
  reserve: ReserveMessage;
  handOver: HandOverMessage;
  startedAt: number;
  listener: ProgressListener;
};

/** Relays an answer to the entry in numbered chunks. */
export class RunningRequest extends AnswerReceiver {
  readonly id: string;
  readonly reserve: ReserveMessage;
  readonly handOver: HandOverMessage;
  readonly abort = new AbortController();
  readonly #connection: EntryConnection;
  readonly #listener: ProgressListener;
  #chunks = 0;
  #length = 0;
  #outputTokens = 0;
  #firstTokenAt: number | undefined;
  readonly #startedAt: number;

  constructor(options: RunningRequestOptions) {
    super();
    this.id = options.id;
    this.reserve = options.reserve;
    this.handOver = options.handOver;
    this.#connection = options.connection;
    this.#listener = options.listener;
    this.#startedAt = options.startedAt;
  }

  /** What a whole answer cost; streamed tokens are counted, others guessed. */
  served(now: number): { cost: Cost; firstToken: number; total: number } {
    const { promptTokens, outputTokens } = this.reserve.cost;
    return {
      cost: {
        promptTokens,
        outputTokens: this.#outputTokens || outputTokens,
      },
      firstToken: (this.#firstTokenAt ?? now) - this.#startedAt,
      total: now - this.#startedAt,
    };
  }

  belongsTo(connection: EntryConnection): boolean {
    return this.#connection === connection;
  }

  override head(status: number, headers: HttpHeaders): void {
    this.#listener.onHead(headers, this.#startedAt);
    this.#connection.send({
      type: "head",
      reservation: this.handOver.reservation,
      status,
      headers,
    });
  }

  override async chunk(bytes: Uint8Array, outputTokens: number): Promise<void> {
    if (this.#firstTokenAt === undefined) this.#begin();
    this.#outputTokens += outputTokens;
    if (outputTokens > 0) this.#listener.onProgress(this.id, outputTokens);
    this.#connection.send({
      type: "chunk",
      reservation: this.handOver.reservation,
      sequence: this.#chunks,
      bytes,
    });
    this.#chunks += 1;
    this.#length += bytes.byteLength;
    await this.#connection.drained();
  }

  #begin(): void {
    this.#firstTokenAt = monotonicNow();
    this.#listener.onFirstToken(this.id, this.#firstTokenAt);
  }

  /** Tells the entry that the answer broke off, or never began. */
  fail(ran: FailedMessage["ran"], reason: FailedMessage["reason"]): void {
    const { reservation } = this.handOver;
    this.#connection.send({ type: "failed", reservation, ran, reason });
  }

  /** Tells the entry that the answer is whole. */
  end(): void {
    this.#connection.send({
      type: "end",
      reservation: this.handOver.reservation,
      chunks: this.#chunks,
      length: this.#length,
    });
  }
}
