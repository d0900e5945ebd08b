/**
 * Asks as messages. Times are sent as durations: the clocks of two instances are
 * not compared.
 * @module
 */
import type { GrantRequest } from "@sycamorepulley/decisions";
import type { AskMessage } from "./messages.ts";

/** `runsAt`: the server that another entry granted already. */
export function messageOf(
  ask: GrantRequest,
  now: number,
  runsAt?: string,
): AskMessage {
  return {
    type: "ask",
    id: ask.id,
    service: ask.service,
    tierRank: ask.tierRank,
    routeRank: ask.routeRank,
    organisation: ask.organisation,
    dataCentre: ask.dataCentre,
    promptTokens: ask.cost.promptTokens,
    outputTokens: ask.cost.outputTokens,
    charge: ask.charge,
    age: now - ask.arrived,
    goalIn: ask.latencyGoalAt - now,
    lapsesIn: ask.expiresAt - now,
    endsIn: ask.deadline - now,
    fingerprint: ask.fingerprint,
    spread: ask.jitter,
    avoid: [...ask.excludedServers],
    ...(runsAt === undefined ? {} : { runsAt }),
  };
}

/** The ask of a message that `entry` sent. */
export function askOf(
  message: AskMessage,
  entry: string,
  now: number,
): GrantRequest {
  return {
    id: message.id,
    entry,
    service: message.service,
    tierRank: message.tierRank,
    routeRank: message.routeRank,
    organisation: message.organisation,
    dataCentre: message.dataCentre,
    cost: {
      promptTokens: message.promptTokens,
      outputTokens: message.outputTokens,
    },
    charge: message.charge,
    arrived: now - message.age,
    latencyGoalAt: now + message.goalIn,
    expiresAt: now + message.lapsesIn,
    deadline: now + message.endsIn,
    fingerprint: message.fingerprint,
    jitter: message.spread,
    excludedServers: message.avoid,
  };
}
