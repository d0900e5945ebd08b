/** Draws the arrivals of a run, the same for every policy. @module */
import type { Random } from "../model/random.ts";
import type { RequestClass, SimulatedRequest } from "../model/request.ts";
import { capacity, type Deployment, withLongWork } from "./deployment.ts";
import type { Pattern } from "./pattern.ts";

/** Zipf exponent of the prefixes' popularity. */
const PREFIX_SKEW = 0.8;

type Options = { deployment: Deployment; pattern: Pattern; random: Random };

/** Arrivals in order of their time. */
export function drawArrivals(options: Options): SimulatedRequest[] {
  const { deployment, pattern, random } = options;
  const classes = pattern.longWork === undefined
    ? deployment.classes
    : withLongWork(deployment, pattern.longWork);
  const usualRate = pattern.load * capacity(deployment, classes);
  const total = classes.reduce((sum, one) => sum + one.share, 0);
  const arrivals: SimulatedRequest[] = [];
  for (const requestClass of classes) {
    const rate = usualRate * requestClass.share / total;
    const peak = pattern.burst?.ranks.includes(requestClass.tierRank)
      ? pattern.burst.factor
      : 1;
    let time = 0;
    while (true) {
      time += random.exponential(1 / (rate * peak));
      if (time >= deployment.horizon) break;
      const thinned = random.uniform() * peak >= factorAt(time, peak, options);
      if (!thinned) arrivals.push(drawRequest(time, requestClass, options));
    }
  }
  if (pattern.crashingRequest !== undefined) {
    arrivals.push(crashingRequest(options, pattern.crashingRequest.at));
  }
  arrivals.sort((left, right) => left.arrival - right.arrival);
  for (const [index, request] of arrivals.entries()) {
    request.id = index;
    request.fingerprint ||= `request-${index}`;
  }
  return arrivals;
}

function factorAt(time: number, peak: number, options: Options): number {
  const { burst } = options.pattern;
  if (burst === undefined) return 1;
  const share = time / options.deployment.horizon;
  return share >= burst.from && share < burst.to ? peak : 1;
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
    crashes: false,
    attempt: 0,
    judged: arrival >= deployment.warmUp,
  };
}

function drawOrganisation(options: Options): string {
  const { deployment, pattern, random } = options;
  const { organisations } = deployment;
  const hot = pattern.hotOrganisation;
  const even = hot === undefined ? 0 : (1 - hot) / (organisations.length - 1);
  const weights = organisations.map((one, index) => {
    if (hot === undefined) return one.share;
    return index === 0 ? hot : even;
  });
  return organisations[random.weighted(weights)]!.name;
}

function drawPrefix(requestClass: RequestClass, options: Options): string {
  const { pattern, random } = options;
  const hot = pattern.hotPrefix !== undefined &&
    random.uniform() < pattern.hotPrefix;
  const { name, prefixes } = requestClass;
  if (hot) return `${name}/hot`;
  const weights = prefixWeights(prefixes);
  return `${name}/${random.weighted(weights)}`;
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

function crashingRequest(options: Options, at: number): SimulatedRequest {
  const { deployment } = options;
  const requestClass = deployment.classes[1]!;
  const request = drawRequest(at * deployment.horizon, requestClass, options);
  request.fingerprint = "crashing-request";
  request.outputTokens = Math.max(10, request.outputTokens);
  request.crashes = true;
  request.judged = false;
  return request;
}
