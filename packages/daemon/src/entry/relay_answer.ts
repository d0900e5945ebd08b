/** Passes a handed-over request's answer on to its caller. @module */
import { monotonicNow } from "../common/clock.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { Mailbox } from "./mailbox.ts";
import type { Refusal, RefusalReason } from "./refusal.ts";
import type { RequestEvent } from "./request_event.ts";

/**
 * Bytes that may wait for a slow caller. Beyond that its answer is cut: the
 * link is shared, and holding it back would stall every other caller's answer.
 */
const HELD_BYTES = 4 * 1024 * 1024;

/** How an answer ended. */
export type AnswerOutcome =
  | { kind: "whole"; status: number; bytes: number }
  | { kind: "failed"; refusal: Refusal; begun: boolean }
  | { kind: "callerLeft"; begun: boolean };

/** Options of {@link AnswerRelay}. */
export type RelayOptions = {
  mailbox: Mailbox<RequestEvent>;
  /** The sidecar that the request was handed to; others' events are late. */
  sidecar: string;
  sink: AnswerSink;
  onFirstByte: (now: number) => void;
};

/** One answer on its way; may be run on after its caller was given up. */
export class AnswerRelay {
  readonly #options: RelayOptions;
  #status = 0;
  #chunks = 0;
  #length = 0;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /**
   * Relays until the answer is whole, cut or overdue, or its caller has left.
   * `deadline` is on the monotonic clock.
   */
  async run(deadline: number): Promise<AnswerOutcome> {
    const { mailbox, sidecar } = this.#options;
    for (;;) {
      const event = await mailbox.take(deadline - monotonicNow());
      if (!event) {
        if (monotonicNow() < deadline) continue;
        return this.#failed("deadline", "unknown");
      }
      if (event.kind === "callerLeft") {
        return { kind: "callerLeft", begun: this.#status !== 0 };
      }
      if (event.kind === "evicted" || event.sidecar !== sidecar) continue;
      const outcome = await this.#react(event);
      if (outcome) return outcome;
    }
  }

  async #react(event: RequestEvent): Promise<AnswerOutcome | undefined> {
    switch (event.kind) {
      case "head":
        this.#status = event.status;
        this.#options.sink.head(event.status, event.headers);
        return undefined;
      case "chunk":
        return await this.#chunk(event.sequence, event.bytes);
      case "end":
        return this.#end(event.chunks, event.length);
      case "failed":
        return this.#failed(event.reason, event.ran);
      case "linkLost":
        return this.#failed("link_lost", "unknown");
      default:
        return undefined;
    }
  }

  async #chunk(
    sequence: number,
    bytes: Uint8Array,
  ): Promise<AnswerOutcome | undefined> {
    const { mailbox, sink, onFirstByte } = this.#options;
    // A gap means that bytes were lost or crossed: what follows can't be part
    // of a whole answer any more.
    if (sequence !== this.#chunks || this.#status === 0) {
      return this.#failed("malformed_answer", "yes");
    }
    if (this.#chunks === 0) onFirstByte(monotonicNow());
    this.#chunks += 1;
    this.#length += bytes.byteLength;
    if (mailbox.heldBytes > HELD_BYTES) {
      return this.#failed("caller_too_slow", "yes");
    }
    await sink.write(bytes);
    return undefined;
  }

  #end(chunks: number, length: number): AnswerOutcome {
    const whole = this.#status !== 0 && chunks === this.#chunks &&
      length === this.#length;
    if (!whole) return this.#failed("malformed_answer", "yes");
    return { kind: "whole", status: this.#status, bytes: this.#length };
  }

  #failed(reason: RefusalReason, ran: Refusal["ran"]): AnswerOutcome {
    const detail = DETAILS[reason] ?? reason.replaceAll("_", " ");
    const refusal = { reason, ran, detail, retryAfter: TROUBLE_RETRY_AFTER };
    return { kind: "failed", refusal, begun: this.#status !== 0 };
  }
}

/** Advice, in milliseconds, to a caller that ran into a server's trouble. */
const TROUBLE_RETRY_AFTER = 1000;

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
