/** From a call to its route, organisation and service, or a refusal. @module */
import { chooseService } from "@sycamorepulley/decisions";
import type { Cost, Route } from "@sycamorepulley/decisions";
import { Result } from "true-myth/result";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type {
  ActiveConfiguration,
  Organisation,
} from "../state/gateway_configuration.ts";

/** What is known of a call before it is placed. */
export type ResolvedRequest = {
  route: Route;
  service: string;
  /** Empty where the route asks for no credential. */
  organisation: string;
  tierRank: number;
  /** Orders requests of one tier; 0 where the tier is the route's own. */
  routeRank: number;
  cost: Cost;
  /** Tokens that the quota is charged. */
  charge: number;
  /** Instant of the last answer that helps anybody. */
  deadline: number;
};

/** Why a call is refused before it is placed. */
export type ResolutionError =
  | "no_configuration"
  | "no_route"
  | "bad_credential";

/**
 * Expected tokens of an answer over the most that its caller allows, where the
 * caller gives no estimate.
 */
const EXPECTED_OUTPUT_SHARE = 0.1;
const PLAIN_REQUEST_COST: Cost = { promptTokens: 0, outputTokens: 1 };

/** Resolves by the configuration in force; `draw` in [0, 1) splits traffic. */
export function resolveRequest(
  call: ParsedRequest,
  inForce: ActiveConfiguration | undefined,
  randomDraw: number,
): Result<ResolvedRequest, ResolutionError> {
  if (inForce === undefined) return Result.err("no_configuration");
  const route = inForce.routes.find(call.host, call.target);
  const service = route && chooseService(route, randomDraw);
  if (route === undefined || service === undefined) {
    return Result.err("no_route");
  }
  const asked = !route.allowsAnonymous &&
    inForce.configuration.organisations.length > 0;
  const organisation = inForce.organisationOf(call.credential);
  if (asked && organisation === undefined) return Result.err("bad_credential");
  const known = asked ? organisation : undefined;
  const { statedTokens: tokens } = call;
  const stated = tokens?.outputTokens ?? 0;
  const expected = call.expectedOutputTokens ?? stated * EXPECTED_OUTPUT_SHARE;
  return Result.ok({
    route,
    service,
    organisation: known?.name ?? "",
    tierRank: known?.tierRank ?? route.tierRank,
    routeRank: known?.tierRank === undefined ? 0 : route.tierRank,
    cost: tokens === undefined ? PLAIN_REQUEST_COST : {
      promptTokens: tokens.promptTokens,
      outputTokens: Math.min(stated, Math.round(expected)),
    },
    charge: quotaCharge(known, tokens),
    deadline: call.arrivedAt +
      Math.min(call.remainingTime ?? Infinity, route.timeout),
  });
}

function quotaCharge(
  organisation: Organisation | undefined,
  tokens: Cost | undefined,
): number {
  if (organisation === undefined) return 0;
  if (!organisation.countsTokens) return 1;
  return tokens === undefined
    ? organisation.plainTokens
    : tokens.promptTokens + tokens.outputTokens;
}
