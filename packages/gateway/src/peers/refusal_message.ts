/**
 * Converts refusals to and from messages. What earlier versions don't know is in
 * optional fields beside values that they do know.
 * @module
 */
import type {
  GrantDecision,
  GrantRefusalReason,
  GrantRequest,
} from "@sycamorepulley/decisions";
import type { PeerMessage } from "./messages.ts";
import type { GrantResult } from "./pending_grant.ts";

type Refusal = Extract<GrantDecision, { kind: "refuse" }>;
export type RefusalMessage = Extract<PeerMessage, { type: "refuse" }>;

/** `acceptsSuspects`: of the entry that the message is sent to. */
export function encodeRefusal(
  { request, reason, retryAfter, inputs }: Refusal,
  now: number,
  { acceptsSuspects }: { acceptsSuspects: boolean },
): RefusalMessage {
  const { appointment, standing, forecastFree, forecastAge } = inputs;
  const { free, waiting, quotaWait } = inputs;
  const isUnknownReason = reason === "quarantined" && !acceptsSuspects;
  const hasNoCapacity = reason === "no_capacity";
  const tooLarge = reason === "too_large";
  const isAppointed = standing === "appointed";
  return {
    type: "refuse",
    id: request.id,
    reason: isUnknownReason || hasNoCapacity || tooLarge ? "overload" : reason,
    tooLarge,
    retryAfter,
    free,
    waiting,
    quotaWait,
    standing: isAppointed ? "returned" : standing,
    ...(hasNoCapacity && { hasNoCapacity }),
    ...(isAppointed && { isAppointed }),
    ...(forecastFree !== undefined && { forecastFree }),
    ...(forecastAge !== undefined && { forecastAge }),
    ...(appointment && {
      appointment: {
        startsIn: appointment.at - now,
        tolerance: appointment.tolerance,
        runTime: appointment.runTime,
      },
    }),
  };
}

/** Restores the refusal of `request`, which the entry `by` has sent. */
export function decodeRefusal(
  message: RefusalMessage,
  request: Pick<GrantRequest, "fingerprint" | "organisation">,
  by: string,
  now: number,
): Extract<GrantResult, { kind: "refuse" }> {
  const { retryAfter, free, waiting, quotaWait } = message;
  const { forecastFree, forecastAge, appointment } = message;
  const { fingerprint, organisation } = request;
  return {
    kind: "refuse",
    reason: refusalReason(message),
    retryAfter,
    by,
    inputs: {
      free,
      waiting,
      quotaWait,
      standing: message.isAppointed ? "appointed" : message.standing,
      forecastFree,
      forecastAge,
      appointment: appointment && {
        fingerprint,
        organisation,
        at: now + appointment.startsIn,
        tolerance: appointment.tolerance,
        runTime: appointment.runTime,
      },
    },
  };
}

function refusalReason(
  { reason, hasNoCapacity, tooLarge }: RefusalMessage,
): GrantRefusalReason {
  if (tooLarge) return "too_large";
  return hasNoCapacity ? "no_capacity" : reason;
}
