/** A failed call to the platform, with the step and the peer. @module */

/** `applied: "no"` only where the call certainly took no effect. */
export type PlatformError = {
  step: string;
  peer: string;
  reason: "unreachable" | "timeout" | "status" | "malformed" | "budget";
  applied: "no" | "unknown";
  detail: string;
};
