/**
 * Runs a request at most once, across the whole fleet and its caller's retries.
 *
 * Guards against a call that takes effect twice, for example an order that
 * charges a customer twice because its response was lost and the caller retried
 * at another entry. The idempotency key is claimed by compare-and-swap before
 * anything is dispatched, so of two attempts one finds the other's claim. While
 * the key-value service is unavailable nothing is dispatched, so it is true to
 * report that the request did not run.
 * @module
 */
import { MAXIMUM_RECORDED_BODY_BYTES } from "@sycamorepulley/store";
import type {
  ClaimLedger,
  HeldClaim,
  RecordedResponse,
} from "@sycamorepulley/store";
import { wallNow } from "../common/clock.ts";
import type { ResponseSink } from "./response_sink.ts";
import { RecordingSink } from "./recording_sink.ts";
import { permanentRefusal, retryableRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestOutcome } from "./request_context.ts";
import { MAX_RUN_DURATION } from "./request_task.ts";
import type { ResolvedRequest } from "./resolved_request.ts";

/** Header that marks a response replayed for a retry of the same request. */
export const REPLAYED_HEADER = "idempotency-replayed";

/** Retry advice while the first attempt is running, in milliseconds. */
const IN_PROGRESS_RETRY_AFTER = 1000;
/** Retry advice while claims can't be written, in milliseconds. */
const UNAVAILABLE_RETRY_AFTER = 2000;

/** Options of {@link serveAtMostOnce}. */
export type AtMostOnceOptions = {
  ledger: ClaimLedger;
  request: ResolvedRequest & { idempotencyKey: string };
  sink: ResponseSink;
  /** Dispatches the request and writes its response to the sink. */
  run: (sink: ResponseSink) => Promise<RequestOutcome>;
};

/**
 * Claims the request's idempotency key. Runs the request and stores its outcome
 * if the key was free; otherwise replays the stored outcome or refuses.
 */
export async function serveAtMostOnce(
  options: AtMostOnceOptions,
): Promise<RequestOutcome> {
  const { ledger, request, sink } = options;
  const claimResult = await ledger.claim({
    service: request.service.name,
    organisation: request.organisation,
    key: request.idempotencyKey,
    fingerprint: request.fingerprint,
    now: wallNow(),
    duration: MAX_RUN_DURATION,
  });
  if (claimResult.isErr) return refuse(sink, claimsUnavailable());
  const decision = claimResult.value;
  switch (decision.kind) {
    case "claimed":
      return await runClaimed(options, decision.claim);
    case "done":
      return await replay(sink, decision.outcome);
    case "running":
      return refuse(sink, inProgress());
    case "unknown":
      return refuse(sink, outcomeUnknown());
    case "reused":
      return refuse(sink, keyReused());
  }
}

async function runClaimed(
  options: AtMostOnceOptions,
  claim: HeldClaim,
): Promise<RequestOutcome> {
  const { ledger, sink, run } = options;
  const recordingSink = new RecordingSink({
    target: sink,
    maxBodyBytes: MAXIMUM_RECORDED_BODY_BYTES,
  });
  const outcome = await run(recordingSink);
  if (outcome.kind === "answered") {
    await ledger.record({ claim, outcome: recordingSink.recordedResponse });
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
  sink: ResponseSink,
  recorded: RecordedResponse,
): Promise<RequestOutcome> {
  const { status, headers, body } = recorded;
  if (body === undefined) return refuse(sink, outcomeNotKept());
  sink.writeHead(status, { ...headers, [REPLAYED_HEADER]: "true" });
  await sink.write(body);
  sink.end();
  return { kind: "answered", status };
}

function refuse(sink: ResponseSink, refusal: Refusal): RequestOutcome {
  sink.refuse(refusal);
  return { kind: "refused", refusal, responseStarted: false };
}

function claimsUnavailable(): Refusal {
  return retryableRefusal(
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
  return permanentRefusal(
    "idempotency_key_reused",
    "this Idempotency-Key belongs to another request: use a new one",
  );
}
