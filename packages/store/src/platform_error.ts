/** A failed call to the platform, with the step and the peer. @module */

/** What went wrong; `budget` and `too_large` are found before anything is sent. */
export type PlatformErrorReason =
  | "unreachable"
  | "timeout"
  | "status"
  | "malformed"
  | "budget"
  | "too_large";

/** `applied: "no"` only where the call certainly took no effect. */
export type PlatformError = {
  step: string;
  peer: string;
  reason: PlatformErrorReason;
  applied: "no" | "unknown";
  detail: string;
};

/** One line for people: step, peer, reason, and what is known of the effect. */
export function describePlatformError(error: PlatformError): string {
  const effect = error.applied === "no"
    ? "nothing was changed"
    : "whether it took effect is unknown";
  return `${error.step} at ${error.peer} failed (${error.reason}): ${error.detail}; ${effect}`;
}
