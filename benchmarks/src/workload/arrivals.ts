/** Draws the arrivals of a run, which are the same for all policies. @module */
import type { Random } from "../model/random.ts";
import type { RequestClass, SimulatedRequest } from "../model/request.ts";
import {
  type Deployment,
  maxRequestRate,
  withLongWorkShare,
} from "./deployment.ts";
import type { Pattern } from "./pattern.ts";

/** Exponent of the Zipf distribution of prefix popularity. */
const PREFIX_SKEW = 0.8;

type Options = { deployment: Deployment; pattern: Pattern; random: Random };

/**
 * Draws the arrivals in order of time. Those of a class are a Poisson process;
 * a class with a burst is drawn at the rate of the burst and thinned outside it.
 */
export function drawArrivals(options: Options): SimulatedRequest[] {
  const { deployment, pattern, random } = options;
  const classes = pattern.longWorkShare === undefined
    ? deployment.classes
    : withLongWorkShare(deployment, pattern.longWorkShare);
  const usualRate = pattern.load * maxRequestRate(deployment, classes);
  const total = classes.reduce(
    (sum, requestClass) => sum + requestClass.share,
    0,
  );
  const arrivals: SimulatedRequest[] = [];
  for (const requestClass of classes) {
    const rate = usualRate * requestClass.share / total;
    const peakFactor = pattern.burst?.ranks.includes(requestClass.tierRank)
      ? pattern.burst.factor
      : 1;
    let time = 0;
    while (true) {
      time += random.exponential(1 / (rate * peakFactor));
      if (time >= deployment.horizon) break;
      const thinned = random.uniform() * peakFactor >=
        burstFactorAt(time, peakFactor, options);
      if (!thinned) arrivals.push(drawRequest(time, requestClass, options));
    }
  }
  if (pattern.crashingRequest !== undefined) {
    arrivals.push(drawCrashingRequest(options, pattern.crashingRequest.at));
  }
  arrivals.sort((left, right) => left.arrival - right.arrival);
  for (const [index, request] of arrivals.entries()) {
    request.id = index;
    request.fingerprint ||= `request-${index}`;
  }
  return arrivals;
}

function burstFactorAt(
  time: number,
  peakFactor: number,
  options: Options,
): number {
  const { burst } = options.pattern;
  if (burst === undefined) return 1;
  const fraction = time / options.deployment.horizon;
  return fraction >= burst.from && fraction < burst.to ? peakFactor : 1;
}

function drawRequest(
  arrival: number,
  requestClass: RequestClass,
  options: Options,
): SimulatedRequest {
  const { deployment, random } = options;
  const { spread, prefixTokens } = requestClass;
  const ownTokens = requestClass.promptTokens - prefixTokens;
  const output = random.logNormal(requestClass.outputTokens, spread);
  return {
    id: 0,
    arrival,
    requestClass,
    organisation: drawOrganisation(options),
    entry: random.index(deployment.entries),
    promptTokens: prefixTokens +
      Math.ceil(random.logNormal(ownTokens, spread)),
    prefixKey: drawPrefix(requestClass, options),
    prefixTokens,
    outputTokens: Math.max(2, Math.round(output)),
    fingerprint: "",
    crashesEngine: false,
    attempt: 0,
    counted: arrival >= deployment.warmUp,
  };
}

function drawOrganisation(options: Options): string {
  const { deployment, pattern, random } = options;
  const { organisations } = deployment;
  const hotShare = pattern.hotOrganisationShare;
  const otherShare = hotShare === undefined
    ? 0
    : (1 - hotShare) / (organisations.length - 1);
  const weights = organisations.map((organisation, index) => {
    if (hotShare === undefined) return organisation.share;
    return index === 0 ? hotShare : otherShare;
  });
  return organisations[random.weightedIndex(weights)]!.name;
}

function drawPrefix(requestClass: RequestClass, options: Options): string {
  const { pattern, random } = options;
  const isHot = pattern.hotPrefixShare !== undefined &&
    random.uniform() < pattern.hotPrefixShare;
  const { name, prefixes } = requestClass;
  if (isHot) return `${name}/hot`;
  const weights = prefixWeights(prefixes);
  return `${name}/${random.weightedIndex(weights)}`;
}

const weightsByCount = new Map<number, number[]>();

function prefixWeights(count: number): number[] {
  const known = weightsByCount.get(count);
  if (known !== undefined) return known;
  const weights = Array.from(
    { length: count },
    (_, index) => 1 / (index + 1) ** PREFIX_SKEW,
  );
  weightsByCount.set(count, weights);
  return weights;
}

function drawCrashingRequest(options: Options, at: number): SimulatedRequest {
  const { deployment } = options;
  const requestClass = deployment.classes[1]!;
  const request = drawRequest(at * deployment.horizon, requestClass, options);
  request.fingerprint = "crashing-request";
  request.outputTokens = Math.max(10, request.outputTokens);
  request.crashesEngine = true;
  request.counted = false;
  return request;
}
