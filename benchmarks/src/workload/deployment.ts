/** A deployment of the brief's size: engines, request classes, organisations. @module */
import { type EngineSettings, typicalWork } from "../model/engine_settings.ts";
import type { RequestClass } from "../model/request.ts";

/** Times are milliseconds. */
export type Deployment = {
  name: string;
  engines: EngineSettings[];
  classes: RequestClass[];
  /** The kind of request that holds up the short ones. */
  longClass: RequestClass;
  organisations: Organisation[];
  entries: number;
  /** Ranks of the tiers that must keep their goodput under overload. */
  topRanks: number[];
  /** Length of a run's arrivals. */
  horizon: number;
  /** Arrivals before this are run but not judged. */
  warmUp: number;
  /** One-way delay between an entry and a sidecar. */
  shortestDelay: number;
  longestDelay: number;
};

/** A customer and its share of the usual arrivals. */
export type Organisation = { name: string; share: number };

/** Work (milliseconds at speed 1) of the mix's average request. */
export function meanWork(classes: readonly RequestClass[]): number {
  let shares = 0;
  let work = 0;
  for (const one of classes) {
    shares += one.share;
    work += one.share * typicalWork(one);
  }
  return work / shares;
}

/**
 * Requests per millisecond of the mix that the fleet could finish at most: all
 * engines at full batches, every prefix cached. Load 1 is this rate.
 */
export function capacity(
  deployment: Deployment,
  classes: readonly RequestClass[],
): number {
  const speed = deployment.engines.reduce((sum, one) => sum + one.speed, 0);
  return speed / meanWork(classes);
}

/** The mix in which the long class makes `share` of the work. */
export function withLongWork(
  deployment: Deployment,
  share: number,
): RequestClass[] {
  const { longClass } = deployment;
  const short = deployment.classes.filter((one) => one !== longClass);
  const shortWork = short.reduce(
    (sum, one) => sum + one.share * typicalWork(one),
    0,
  );
  const longShare = shortWork * share / (1 - share) / typicalWork(longClass);
  return [...short, { ...longClass, share: longShare }];
}

/** The deployment as it would be if all engines had their mean speed. */
export function withEqualSpeeds(deployment: Deployment): Deployment {
  const { engines } = deployment;
  const total = engines.reduce((sum, one) => sum + one.speed, 0);
  const speed = total / engines.length;
  return { ...deployment, engines: engines.map((one) => ({ ...one, speed })) };
}

/** Engines of the given speeds, spread over the data centres in turn. */
export function engines(
  options: { prefix: string; speeds: number[]; dataCentres: number },
): EngineSettings[] {
  return options.speeds.map((speed, index) => ({
    name: `${options.prefix}-${index}`,
    dataCentre: `data-centre-${index % options.dataCentres}`,
    speed,
    memoryTokens: speed > 1 ? 256_000 : 128_000,
    prefixCacheTokens: speed > 1 ? 48_000 : 32_000,
  }));
}
