/** Relays the response to a handed-over request to its caller. @module */
import { monotonicNow } from "../common/clock.ts";
import type { ResponseSink } from "./response_sink.ts";
import type { Mailbox } from "./mailbox.ts";
import type { Refusal, RefusalReason } from "./refusal.ts";
import type { RequestEvent } from "./request_event.ts";

/**
 * Bytes that may be buffered for a slow caller. Beyond that its response is cut
 * off: the link is shared, and backpressure on it would stall the responses to
 * all other callers.
 */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** How a relayed response ended. */
export type ResponseOutcome =
  | { kind: "complete"; status: number; bytes: number }
  | { kind: "failed"; refusal: Refusal; responseStarted: boolean }
  | { kind: "callerDisconnected"; responseStarted: boolean };

/** Options of {@link ResponseRelay}. */
export type ResponseRelayOptions = {
  mailbox: Mailbox<RequestEvent>;
  /**
   * The sidecar that the request was handed over to. Events of other sidecars
   * are late ones from the placement and are ignored.
   */
  sidecar: string;
  sink: ResponseSink;
  onFirstByte: (now: number) => void;
};

/**
 * Relays one response. After `run` gave up on the caller, it may be called
 * again to follow the request to its end.
 */
export class ResponseRelay {
  readonly #options: ResponseRelayOptions;
  #status = 0;
  #chunks = 0;
  #length = 0;

  constructor(options: ResponseRelayOptions) {
    this.#options = options;
  }

  /**
   * Relays until the response is complete, has failed or is overdue, or until
   * the caller has disconnected. `deadline` is on the monotonic clock.
   */
  async run(deadline: number): Promise<ResponseOutcome> {
    const { mailbox, sidecar } = this.#options;
    for (;;) {
      const event = await mailbox.take(deadline - monotonicNow());
      if (!event) {
        if (monotonicNow() < deadline) continue;
        return this.#failure("deadline", "unknown");
      }
      if (event.kind === "callerDisconnected") {
        return {
          kind: "callerDisconnected",
          responseStarted: this.#status !== 0,
        };
      }
      if (event.kind === "evicted" || event.sidecar !== sidecar) continue;
      const outcome = await this.#handleEvent(event);
      if (outcome) return outcome;
    }
  }

  async #handleEvent(
    event: RequestEvent,
  ): Promise<ResponseOutcome | undefined> {
    switch (event.kind) {
      case "head":
        this.#status = event.status;
        this.#options.sink.writeHead(event.status, event.headers);
        return undefined;
      case "chunk":
        return await this.#relayChunk(event.sequence, event.bytes);
      case "end":
        return this.#handleEnd(event.chunks, event.length);
      case "failed":
        return this.#failure(event.reason, event.ran);
      case "linkLost":
        return this.#failure("link_lost", "unknown");
      default:
        return undefined;
    }
  }

  async #relayChunk(
    sequence: number,
    bytes: Uint8Array,
  ): Promise<ResponseOutcome | undefined> {
    const { mailbox, sink, onFirstByte } = this.#options;
    // A gap in the sequence means that bytes were lost or reordered: the
    // response can't be complete any more.
    if (sequence !== this.#chunks || this.#status === 0) {
      return this.#failure("malformed_answer", "yes");
    }
    if (this.#chunks === 0) onFirstByte(monotonicNow());
    this.#chunks += 1;
    this.#length += bytes.byteLength;
    if (mailbox.bufferedBytes > MAX_BUFFERED_BYTES) {
      return this.#failure("caller_too_slow", "yes");
    }
    await sink.write(bytes);
    return undefined;
  }

  #handleEnd(chunks: number, length: number): ResponseOutcome {
    const complete = this.#status !== 0 && chunks === this.#chunks &&
      length === this.#length;
    if (!complete) return this.#failure("malformed_answer", "yes");
    return { kind: "complete", status: this.#status, bytes: this.#length };
  }

  #failure(reason: RefusalReason, ran: Refusal["ran"]): ResponseOutcome {
    const detail = DETAILS[reason] ?? reason.replaceAll("_", " ");
    const refusal = { reason, ran, detail, retryAfter: FAILURE_RETRY_AFTER };
    return { kind: "failed", refusal, responseStarted: this.#status !== 0 };
  }
}

/** Retry advice to a caller whose response failed, in milliseconds. */
const FAILURE_RETRY_AFTER = 1000;

const DETAILS: Partial<Record<RefusalReason, string>> = {
  deadline: "the deadline passed while the backend server worked on it",
  link_lost: "the connection to the backend server's sidecar broke",
  answer_cut: "the backend server's answer broke off",
  answer_too_large: "the backend server's answer is larger than the bound",
  malformed_answer: "parts of the backend server's answer are missing",
  caller_too_slow: "the caller did not read its answer in time",
  connect_failed: "the backend server could not be reached",
  grant_lapsed: "the offer of the backend server had lapsed",
};
