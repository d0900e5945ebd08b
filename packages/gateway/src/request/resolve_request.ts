/** Resolves a request to its route, organisation and service. @module */
import { chooseService } from "@sycamorepulley/decisions";
import type { Cost, Route } from "@sycamorepulley/decisions";
import { Result } from "true-myth/result";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type {
  ActiveConfiguration,
  Organisation,
} from "../state/gateway_configuration.ts";

/** What is known of a request before a server is requested for it. */
export type ResolvedRequest = {
  route: Route;
  service: string;
  /** Empty if the route requires no credential. */
  organisation: string;
  tierRank: number;
  /** Orders requests of one tier; 0 if the tier is the one of the route. */
  routeRank: number;
  cost: Cost;
  /** Prompt and largest output in tokens; absent if it states none. */
  memoryTokens?: number | undefined;
  /** Units charged to the quota: tokens, or 1 if the quota counts requests. */
  charge: number;
  /** Instant after which a response is of no use to the caller. */
  deadline: number;
  /** Regions in which it may run; any if absent. */
  homeRegions: readonly string[] | undefined;
};

/** Why a request is refused before a server is requested for it. */
export type ResolutionError =
  | "no_configuration"
  | "no_route"
  | "bad_credential";

/**
 * Expected output tokens as a fraction of the maximum that the caller allows,
 * if it gives no estimate.
 */
const EXPECTED_OUTPUT_FRACTION = 0.1;
/** Cost, in tokens, of a request that states no token usage. */
const PLAIN_REQUEST_COST: Cost = { promptTokens: 0, outputTokens: 1 };

/**
 * Resolves a request by the configuration in force. `randomDraw`, in [0, 1),
 * selects the service if the route splits its traffic.
 */
export function resolveRequest(
  parsed: ParsedRequest,
  activeConfiguration: ActiveConfiguration | undefined,
  randomDraw: number,
): Result<ResolvedRequest, ResolutionError> {
  if (activeConfiguration === undefined) return Result.err("no_configuration");
  const route = activeConfiguration.routes.find(parsed.host, parsed.target);
  const service = route && chooseService(route, randomDraw);
  if (route === undefined || service === undefined) {
    return Result.err("no_route");
  }
  const credentialRequired = !route.allowsAnonymous &&
    activeConfiguration.configuration.organisations.length > 0;
  const organisation = activeConfiguration.organisationOf(parsed.credential);
  if (credentialRequired && organisation === undefined) {
    return Result.err("bad_credential");
  }
  const identified = credentialRequired ? organisation : undefined;
  const { statedTokens: tokens } = parsed;
  const maxOutputTokens = tokens?.outputTokens ?? 0;
  const expected = parsed.expectedOutputTokens ??
    maxOutputTokens * EXPECTED_OUTPUT_FRACTION;
  return Result.ok({
    route,
    service,
    organisation: identified?.name ?? "",
    tierRank: identified?.tierRank ?? route.tierRank,
    routeRank: identified?.tierRank === undefined ? 0 : route.tierRank,
    cost: tokens === undefined ? PLAIN_REQUEST_COST : {
      promptTokens: tokens.promptTokens,
      outputTokens: Math.min(maxOutputTokens, Math.round(expected)),
    },
    memoryTokens: tokens && tokens.promptTokens + tokens.outputTokens,
    charge: quotaCharge(identified, tokens),
    homeRegions: commonRegions(route.homeRegions, identified?.homeRegions),
    deadline: parsed.arrivedAt +
      Math.min(parsed.remainingTime ?? Infinity, route.timeout),
  });
}

/** Regions that both allow; any if neither names one. */
function commonRegions(
  one: readonly string[] | undefined,
  other: readonly string[] | undefined,
): readonly string[] | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return one.filter((region) => other.includes(region));
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
