/**
 * Demand for a service by data centre of the caller, tier, route, size and
 * allowed data centres.
 * @module
 */
import { DecayingRate } from "./decaying_rate.ts";

/** A request as the balance sees it. */
export type BalancedRequest = {
  /** Data centre of the entry that received it. */
  home: string;
  tierRank: number;
  routeRank: number;
  /** Value relative to other responses of its tier and route. */
  relativeValue: number;
  allowedDataCentres: readonly string[] | undefined;
  /** Expected slot time in milliseconds, at a server of average speed. */
  runTime: number;
  /** Of the request and its response together. */
  bytes: number;
};

/** Relative values up to which a response counts as small or as medium. */
const SMALL_VALUE = 0.7;
const MEDIUM_VALUE = 1.5;
/** Weight of the newest request in the means of its class. */
const NEWEST_WEIGHT = 0.05;
/** Milliseconds without arrivals after which a class is forgotten. */
const FORGET_AFTER = 20_000;

/** Requests that are alike; the means are of one request. */
export class ClassDemand {
  readonly home: string;
  readonly tierRank: number;
  readonly routeRank: number;
  readonly allowedDataCentres: readonly string[] | undefined;
  relativeValue: number;
  runTime: number;
  bytes: number;
  arrivedAt = -Infinity;
  /** Slots that the class occupies if all its requests are served. */
  readonly slots = new DecayingRate();
  /** Planned part that is sent to each other data centre, by name. */
  shares: ReadonlyMap<string, number> = new Map();

  constructor(request: BalancedRequest) {
    this.home = request.home;
    this.tierRank = request.tierRank;
    this.routeRank = request.routeRank;
    this.allowedDataCentres = request.allowedDataCentres;
    this.relativeValue = request.relativeValue;
    this.runTime = request.runTime;
    this.bytes = request.bytes;
  }

  observe(
    { relativeValue, runTime, bytes }: BalancedRequest,
    now: number,
  ): void {
    this.relativeValue += NEWEST_WEIGHT * (relativeValue - this.relativeValue);
    this.runTime += NEWEST_WEIGHT * (runTime - this.runTime);
    this.bytes += NEWEST_WEIGHT * (bytes - this.bytes);
    this.arrivedAt = now;
    this.slots.add(runTime, now);
  }
}

/** The classes of one service. */
export class ServiceClasses {
  readonly #classes = new Map<string, ClassDemand>();

  observe(request: BalancedRequest, now: number): void {
    const key = classKey(request);
    let known = this.#classes.get(key);
    if (known === undefined) {
      known = new ClassDemand(request);
      this.#classes.set(key, known);
    }
    known.observe(request, now);
  }

  find(request: BalancedRequest): ClassDemand | undefined {
    return this.#classes.get(classKey(request));
  }

  /** Returns the classes with recent arrivals. */
  recent(now: number): ClassDemand[] {
    for (const [key, { arrivedAt }] of this.#classes) {
      if (now - arrivedAt > FORGET_AFTER) this.#classes.delete(key);
    }
    return [...this.#classes.values()];
  }
}

function classKey(request: BalancedRequest): string {
  const { home, tierRank, routeRank, allowedDataCentres = [] } = request;
  const size = sizeOf(request.relativeValue);
  const key = `${home} ${tierRank}.${routeRank} ${size}`;
  return allowedDataCentres.length === 0
    ? key
    : `${key} ${allowedDataCentres.join(" ")}`;
}

function sizeOf(relativeValue: number): string {
  if (relativeValue < SMALL_VALUE) return "small";
  return relativeValue < MEDIUM_VALUE ? "medium" : "large";
}
