/**
 * Converts grant requests to and from messages. Times are sent as durations,
 * since the clocks of two instances can't be compared.
 * @module
 */
import type { GrantRequest } from "@sycamorepulley/decisions";
import type { RunLocation } from "./interrupted_runs.ts";
import type { GrantRequestMessage } from "./messages.ts";

/** `location`: the server that another entry has granted already. */
export function encodeGrantRequest(
  request: GrantRequest,
  now: number,
  location?: RunLocation,
): GrantRequestMessage {
  const { server, address } = location ?? {};
  return {
    type: "ask",
    id: request.id,
    service: request.service,
    tierRank: request.tierRank,
    routeRank: request.routeRank,
    ...(request.route !== undefined && { route: request.route }),
    organisation: request.organisation,
    dataCentre: request.dataCentre,
    promptTokens: request.cost.promptTokens,
    outputTokens: request.cost.outputTokens,
    charge: request.charge,
    age: now - request.arrived,
    goalIn: request.latencyGoalAt - now,
    lapsesIn: Math.max(0, request.expiresAt - now),
    endsIn: request.deadline - now,
    fingerprint: request.fingerprint,
    promptParts: [...request.promptParts],
    spread: request.jitter,
    avoid: [...request.excludedServers],
    ...(request.pauseGoal !== undefined && { pauseGoal: request.pauseGoal }),
    ...(request.memoryTokens !== undefined && {
      memoryTokens: request.memoryTokens,
    }),
    ...(request.bodyBytes !== undefined && { bodyBytes: request.bodyBytes }),
    ...(request.allowedDataCentres && {
      within: [...request.allowedDataCentres],
    }),
    ...(server !== undefined && { runsAt: server }),
    ...(address !== undefined && { runsAtAddress: address }),
  };
}

/** Restores the grant request from a message that `entry` sent. */
export function decodeGrantRequest(
  message: GrantRequestMessage,
  entry: string,
  now: number,
): GrantRequest {
  return {
    id: message.id,
    entry,
    service: message.service,
    tierRank: message.tierRank,
    routeRank: message.routeRank,
    route: message.route,
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
    promptParts: message.promptParts,
    jitter: message.spread,
    excludedServers: message.avoid,
    pauseGoal: message.pauseGoal,
    memoryTokens: message.memoryTokens,
    bodyBytes: message.bodyBytes,
    allowedDataCentres: message.within,
  };
}
