/**
 * A request that may run at most once, over the whole fleet and over its
 * caller's resends.
 *
 * Failure: a flavour swap charges a customer twice, because its answer was
 * lost and the caller sent it again to another entry. The idempotency key is
 * claimed by compare-and-swap before anything is dispatched, so of two tries
 * one finds the other's claim. While the key-value service is down nothing is
 * dispatched, and "not run" is true.
 * @module
 */
import { MAXIMUM_RECORDED_BODY_BYTES } from "@sycamorepulley/store";
import type {
  ClaimLedger,
  HeldClaim,
  RecordedResponse,
} from "@sycamorepulley/store";
import { wallNow } from "../common/clock.ts";
import type { AnswerSink } from "./answer_sink.ts";
import { RecordingSink } from "./recording_sink.ts";
import { notRun, rejected } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestOutcome } from "./request_surroundings.ts";
import { LONGEST_RUN } from "./request_task.ts";
import type { ResolvedRequest } from "./resolved_request.ts";

/** Marks an answer that was given before to the same request. */
export const REPLAYED_HEADER = "idempotency-replayed";

/** Advice, in milliseconds, while the first try is still at work. */
const IN_PROGRESS_RETRY_AFTER = 1000;
/** Advice, in milliseconds, while claims can't be written. */
const UNAVAILABLE_RETRY_AFTER = 2000;

/** Options of {@link serveKeyed}. */
export type KeyedRequestOptions = {
  ledger: ClaimLedger;
  request: ResolvedRequest & { idempotencyKey: string };
  sink: AnswerSink;
  /** Dispatches the request and answers into the sink. */
  run: (sink: AnswerSink) => Promise<RequestOutcome>;
};

/** Claims the key, runs the request if it is ours, and keeps the outcome. */
export async function serveKeyed(
  options: KeyedRequestOptions,
): Promise<RequestOutcome> {
  const { ledger, request, sink } = options;
  const claimed = await ledger.claim({
    service: request.service.name,
    organisation: request.organisation,
    key: request.idempotencyKey,
    fingerprint: request.fingerprint,
    now: wallNow(),
    duration: LONGEST_RUN,
  });
  if (claimed.isErr) return refuse(sink, claimsUnavailable());
  const answer = claimed.value;
  switch (answer.kind) {
    case "claimed":
      return await runClaimed(options, answer.claim);
    case "done":
      return await replay(sink, answer.outcome);
    case "running":
      return refuse(sink, inProgress());
    case "unknown":
      return refuse(sink, outcomeUnknown());
    case "reused":
      return refuse(sink, keyReused());
  }
}

async function runClaimed(
  options: KeyedRequestOptions,
  claim: HeldClaim,
): Promise<RequestOutcome> {
  const { ledger, sink, run } = options;
  const recording = new RecordingSink({
    target: sink,
    bound: MAXIMUM_RECORDED_BODY_BYTES,
  });
  const outcome = await run(recording);
  if (outcome.kind === "answered") {
    await ledger.record({ claim, outcome: recording.outcome });
  } else if (ranOf(outcome) === "no") {
    await ledger.release(claim);
  } else {
    await ledger.record({ claim, outcome: "unknown" });
  }
  return outcome;
}

function ranOf(
  outcome: Exclude<RequestOutcome, { kind: "answered" }>,
): Refusal["ran"] {
  return outcome.kind === "refused" ? outcome.refusal.ran : outcome.ran;
}

async function replay(
  sink: AnswerSink,
  outcome: RecordedResponse,
): Promise<RequestOutcome> {
  const { status, headers, body } = outcome;
  if (body === undefined) return refuse(sink, outcomeNotKept());
  sink.head(status, { ...headers, [REPLAYED_HEADER]: "true" });
  await sink.write(body);
  sink.end();
  return { kind: "answered", status };
}

function refuse(sink: AnswerSink, refusal: Refusal): RequestOutcome {
  sink.refuse(refusal);
  return { kind: "refused", refusal, begun: false };
}

function claimsUnavailable(): Refusal {
  return notRun(
    "claims_unavailable",
    "calls that may not run twice wait for the platform's key-value service",
    UNAVAILABLE_RETRY_AFTER,
  );
}

function inProgress(): Refusal {
  return {
    reason: "idempotency_in_progress",
    ran: "unknown",
    detail: "the first request with this Idempotency-Key is not answered yet",
    retryAfter: IN_PROGRESS_RETRY_AFTER,
  };
}

function outcomeUnknown(): Refusal {
  return {
    reason: "idempotency_outcome_unknown",
    ran: "unknown",
    detail: "the first request with this Idempotency-Key may have run; look " +
      "at the service's own records before you order again with another key",
  };
}

function outcomeNotKept(): Refusal {
  return {
    reason: "idempotency_outcome_not_kept",
    ran: "yes",
    detail: "the first request with this Idempotency-Key ran; its answer is " +
      "too long to be kept",
  };
}

function keyReused(): Refusal {
  return rejected(
    "idempotency_key_reused",
    "this Idempotency-Key belongs to another request: use a new one",
  );
}
