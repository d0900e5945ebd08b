/** Refusals: the final responses to requests that were not served. @module */
import type { ExecutionStatus } from "@sycamorepulley/protocol";

/** HTTP status of each reason. The reasons are part of the public interface. */
export const REFUSAL_STATUS = {
  malformed_request: 400,
  unknown_tier: 400,
  malformed_deadline: 400,
  malformed_idempotency_key: 400,
  idempotency_key_required: 400,
  unauthorized: 401,
  service_not_allowed: 403,
  tier_not_allowed: 403,
  unknown_path: 404,
  unknown_service: 404,
  unknown_model: 404,
  idempotency_in_progress: 409,
  idempotency_outcome_unknown: 409,
  idempotency_outcome_not_kept: 409,
  body_too_large: 413,
  idempotency_key_reused: 422,
  link_lost: 502,
  answer_cut: 502,
  answer_too_large: 502,
  malformed_answer: 502,
  caller_too_slow: 502,
  cancelled: 502,
  connect_failed: 503,
  no_configuration: 503,
  no_backend_server: 503,
  queue_full: 503,
  evicted: 503,
  tier_shed: 503,
  service_waiting_full: 503,
  service_memory_full: 503,
  entry_memory_full: 503,
  unhealthy: 503,
  leaving: 503,
  wrong_service: 503,
  version_stopped: 503,
  grant_lapsed: 503,
  quarantined: 503,
  claims_unavailable: 503,
  deadline: 504,
} as const;

/** Why a request was not served. */
export type RefusalReason = keyof typeof REFUSAL_STATUS;

/** `retryAfter` is in milliseconds, and absent if a retry would not help. */
export type Refusal = {
  reason: RefusalReason;
  ran: ExecutionStatus;
  detail: string;
  retryAfter?: number | undefined;
};

/** Retry advice if no better estimate is known, in milliseconds. */
const DEFAULT_RETRY_AFTER = 1000;

/**
 * Creates the refusal of a request that certainly did not run and may be
 * retried after `retryAfter` milliseconds.
 */
export function retryableRefusal(
  reason: RefusalReason,
  detail: string,
  retryAfter = DEFAULT_RETRY_AFTER,
): Refusal {
  return { reason, ran: "no", detail, retryAfter };
}

/** Creates the refusal of an invalid request, which would fail again. */
export function permanentRefusal(
  reason: RefusalReason,
  detail: string,
): Refusal {
  return { reason, ran: "no", detail };
}

/** Creates a problem document (RFC 9457) with its HTTP status and headers. */
export function problemDocument(
  refusal: Refusal,
): { status: number; headers: Record<string, string>; body: string } {
  const status = REFUSAL_STATUS[refusal.reason];
  const seconds = refusal.retryAfter === undefined
    ? undefined
    : Math.max(1, Math.ceil(refusal.retryAfter / 1000));
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    ...(seconds === undefined ? {} : { "retry-after": String(seconds) }),
    ...(status === 401 ? { "www-authenticate": "Bearer" } : {}),
  };
  const body = JSON.stringify({
    type: `urn:sycamorepulley:refusal:${refusal.reason}`,
    title: refusal.reason.replaceAll("_", " "),
    status,
    detail: refusal.detail,
    reason: refusal.reason,
    ran: refusal.ran,
    ...(seconds === undefined ? {} : { retryAfter: seconds }),
  });
  return { status, headers, body };
}
