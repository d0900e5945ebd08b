/**
 * One request at the backend server, whose response is streamed to the entry.
 * @module
 */
import type {
  Cost,
  FailedMessage,
  HandOverMessage,
  HttpHeaders,
  ReserveMessage,
} from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import { ResponseReceiver } from "./backend_client.ts";
import type { EntryConnection } from "./entry_connection.ts";

/** Receives the progress of responses, for the server's limits. */
export type ProgressListener = {
  /** `startedAt`: when the request was sent, in monotonic milliseconds. */
  onHead(status: number, headers: HttpHeaders, startedAt: number): void;
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

/** Relays a response to the entry in numbered chunks. */
export class RunningRequest extends ResponseReceiver {
  readonly id: string;
  readonly reserve: ReserveMessage;
  readonly handOver: HandOverMessage;
  readonly abortController = new AbortController();
  readonly #connection: EntryConnection;
  readonly #listener: ProgressListener;
  #chunkCount = 0;
  #byteCount = 0;
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

  /**
   * Returns the cost of a complete response, and its times in milliseconds from
   * the start. Output tokens are counted if the response was streamed;
   * otherwise the reservation's estimate is used.
   */
  measure(now: number): { cost: Cost; firstToken: number; total: number } {
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

  override receiveHead(status: number, headers: HttpHeaders): void {
    this.#listener.onHead(status, headers, this.#startedAt);
    this.#connection.send({
      type: "head",
      reservation: this.handOver.reservation,
      status,
      headers,
    });
  }

  override async receiveChunk(
    bytes: Uint8Array,
    outputTokens: number,
  ): Promise<void> {
    if (this.#firstTokenAt === undefined) this.#recordFirstToken();
    this.#outputTokens += outputTokens;
    if (outputTokens > 0) this.#listener.onProgress(this.id, outputTokens);
    this.#connection.send({
      type: "chunk",
      reservation: this.handOver.reservation,
      sequence: this.#chunkCount,
      bytes,
    });
    this.#chunkCount += 1;
    this.#byteCount += bytes.byteLength;
    await this.#connection.waitForDrain();
  }

  #recordFirstToken(): void {
    this.#firstTokenAt = monotonicNow();
    this.#listener.onFirstToken(this.id, this.#firstTokenAt);
  }

  /** Notifies the entry that the response broke off or never started. */
  sendFailed(ran: FailedMessage["ran"], reason: FailedMessage["reason"]): void {
    const { reservation } = this.handOver;
    this.#connection.send({ type: "failed", reservation, ran, reason });
  }

  /** Notifies the entry that the response is complete. */
  sendEnd(): void {
    this.#connection.send({
      type: "end",
      reservation: this.handOver.reservation,
      chunks: this.#chunkCount,
      length: this.#byteCount,
    });
  }
}
