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
  | { kind: "callerLeft" };

/** Options of {@link relayAnswer}. */
export type RelayOptions = {
  mailbox: Mailbox<RequestEvent>;
  /** The sidecar that the request was handed to; others' events are late. */
  sidecar: string;
  sink: AnswerSink;
  /** On the monotonic clock. */
  deadline: number;
  onFirstByte: (now: number) => void;
};

/** Relays until the answer is whole, cut, overdue or its caller has left. */
export async function relayAnswer(
  options: RelayOptions,
): Promise<AnswerOutcome> {
  const { mailbox, sidecar, sink, deadline } = options;
  const progress = { status: 0, chunks: 0, length: 0 };
  for (;;) {
    const event = await mailbox.take(deadline - monotonicNow());
    if (!event) {
      if (monotonicNow() < deadline) continue;
      return failed(progress, "deadline", "unknown");
    }
    if (event.kind === "callerLeft") return { kind: "callerLeft" };
    if (event.kind === "evicted" || event.sidecar !== sidecar) continue;
    switch (event.kind) {
      case "head":
        progress.status = event.status;
        sink.head(event.status, event.headers);
        break;
      case "chunk":
        // A gap means that bytes were lost or crossed: what follows can't be
        // part of a whole answer any more.
        if (event.sequence !== progress.chunks) {
          return failed(progress, "malformed_answer", "yes");
        }
        if (progress.chunks === 0) options.onFirstByte(monotonicNow());
        progress.chunks += 1;
        progress.length += event.bytes.byteLength;
        if (mailbox.heldBytes > HELD_BYTES) {
          return failed(progress, "caller_too_slow", "yes");
        }
        await sink.write(event.bytes);
        break;
      case "end":
        if (
          progress.status === 0 || event.chunks !== progress.chunks ||
          event.length !== progress.length
        ) return failed(progress, "malformed_answer", "yes");
        return {
          kind: "whole",
          status: progress.status,
          bytes: progress.length,
        };
      case "failed":
        return failed(progress, event.reason, event.ran);
      case "linkLost":
        return failed(progress, "link_lost", "unknown");
    }
  }
}

const DETAILS: Partial<Record<RefusalReason, string>> = {
  deadline: "the deadline passed while the backend server worked on it",
  link_lost: "the connection to the backend server's sidecar broke",
  server_crashed: "the backend server died while it worked on the request",
  answer_cut: "the backend server's answer broke off",
  answer_too_large: "the backend server's answer is larger than the bound",
  malformed_answer: "parts of the backend server's answer are missing",
  caller_too_slow: "the caller did not read its answer in time",
  connect_failed: "the backend server could not be reached",
  grant_lapsed: "the offer of the backend server had lapsed",
};

/** Advice to a caller whose request ran into a server's trouble. */
const TROUBLE_RETRY_AFTER = 1000;

function failed(
  progress: { status: number },
  reason: RefusalReason,
  ran: Refusal["ran"],
): AnswerOutcome {
  const detail = DETAILS[reason] ?? reason.replaceAll("_", " ");
  const refusal = { reason, ran, detail, retryAfter: TROUBLE_RETRY_AFTER };
  return { kind: "failed", refusal, begun: progress.status !== 0 };
}
