/** A failed call to a service of the platform. @module */

/**
 * Why it failed. `budget`: a limit of this process on calls, conflicts or
 * pending operations was reached; `too_large`: the value was not sent;
 * `outdated`: the response is from before a restore of the service.
 */
export type PlatformErrorReason =
  | "unreachable"
  | "timeout"
  | "status"
  | "malformed"
  | "budget"
  | "too_large"
  | "outdated";

/**
 * A failed call. `peer` is the service's address or the key concerned.
 * `applied` is `"no"` only if the call certainly had no effect.
 */
export type PlatformError = {
  step: string;
  peer: string;
  reason: PlatformErrorReason;
  applied: "no" | "unknown";
  detail: string;
};

/** One line for operators: step, peer, reason, and whether it took effect. */
export function describePlatformError(error: PlatformError): string {
  const effect = error.applied === "no"
    ? "nothing was changed"
    : "whether it took effect is unknown";
  return `${error.step} at ${error.peer} failed (${error.reason}): ${error.detail}; ${effect}`;
}
