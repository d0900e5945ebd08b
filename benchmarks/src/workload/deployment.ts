/** Describes deployments: engines, request classes and organisations. @module */
import { type EngineSettings, typicalWork } from "../model/engine_settings.ts";
import type { RequestClass } from "../model/request.ts";

/** A deployment to simulate. Times are milliseconds. */
export type Deployment = {
  name: string;
  engines: EngineSettings[];
  classes: RequestClass[];
  /** The class of long requests, which delay the short ones. */
  longClass: RequestClass;
  organisations: Organisation[];
  entries: number;
  /** Ranks of the tiers that must keep their goodput under overload. */
  topTierRanks: number[];
  /** Time during which requests arrive. */
  horizon: number;
  /** Arrivals before this time are simulated but not measured. */
  warmUp: number;
  /** Minimum one-way delay between an entry and a sidecar. */
  minDelay: number;
  /** Maximum one-way delay between an entry and a sidecar. */
  maxDelay: number;
};

/** An organisation and its share of the usual arrivals. */
export type Organisation = { name: string; share: number };

/** Returns the mean work of a request of the mix, in milliseconds at speed 1. */
export function meanWork(classes: readonly RequestClass[]): number {
  let shares = 0;
  let work = 0;
  for (const requestClass of classes) {
    shares += requestClass.share;
    work += requestClass.share * typicalWork(requestClass);
  }
  return work / shares;
}

/**
 * Returns the maximum number of requests of the mix that the fleet can finish
 * per millisecond, with full batches at all engines and all prefixes cached.
 * This rate is load 1.
 */
export function maxRequestRate(
  deployment: Deployment,
  classes: readonly RequestClass[],
): number {
  const speed = deployment.engines.reduce(
    (sum, engine) => sum + engine.speed,
    0,
  );
  return speed / meanWork(classes);
}

/** Returns the mix in which the long class causes `share` of the work. */
export function withLongWorkShare(
  deployment: Deployment,
  share: number,
): RequestClass[] {
  const { longClass } = deployment;
  const short = deployment.classes.filter((requestClass) =>
    requestClass !== longClass
  );
  const shortWork = short.reduce(
    (sum, requestClass) => sum + requestClass.share * typicalWork(requestClass),
    0,
  );
  const longShare = shortWork * share / (1 - share) / typicalWork(longClass);
  return [...short, { ...longClass, share: longShare }];
}

/** Returns the deployment with all engines at their mean speed. */
export function withEqualSpeeds(deployment: Deployment): Deployment {
  const { engines } = deployment;
  const total = engines.reduce((sum, engine) => sum + engine.speed, 0);
  const speed = total / engines.length;
  return {
    ...deployment,
    engines: engines.map((engine) => ({ ...engine, speed })),
  };
}

/** Creates engines of the given speeds, assigned to the data centres in turn. */
export function createEngineSettings(
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
