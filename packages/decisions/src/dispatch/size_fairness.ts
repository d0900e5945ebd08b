/**
 * Prevents the starvation of the largest requests of a priority class (tier and
 * route) while slots are scarce.
 *
 * The order by value per slot time puts the largest requests of a class last,
 * and as long as demand exceeds capacity the end of that order is never served.
 * Therefore the served fraction is tracked for each size class. While it is far
 * below that of the whole priority class, requests of the size class are
 * ordered like those of the priority class that are granted.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";
import { RecentQuantiles } from "../estimates/recent_quantiles.ts";
import { weightedTokens } from "./response_value.ts";
import { nominalSlotTime } from "./latency_ratio.ts";

/** The largest tenth of a priority class, the fifth below it, and the rest. */
export type SizeClass = "largest" | "large" | "usual";

/** Quantile of the sizes above which a request is of the largest class. */
const LARGEST_QUANTILE = 0.9;
/** Quantile of the sizes above which a request is at least large. */
const LARGE_QUANTILE = 0.7;
/**
 * Quantile of the slot times of granted requests at which requests of an
 * underserved size class are ordered.
 */
const GRANTED_QUANTILE = 0.5;
/**
 * A size class is underserved if its served fraction is below this fraction of
 * the whole priority class's.
 */
const MINIMUM_RELATIVE_FRACTION = 0.6;
/**
 * Number of requests of a priority class in which its counts decay to 1/e, so
 * that what was served before a burst hardly offsets what is refused in it.
 */
const DECAY_REQUESTS = 300;
/** Factor by which each request of a priority class reduces its counts. */
const DECAY_FACTOR = Math.exp(-1 / DECAY_REQUESTS);
/**
 * Number of requests of a priority class before its fractions are significant.
 */
const MINIMUM_REQUESTS = 50;

/** Counts recent requests and grants, for the fraction that is served. */
class ServedFraction {
  #requests = 0;
  #grants = 0;

  get requested(): number {
    return this.#requests;
  }

  /** 1 before the first request. */
  get value(): number {
    return this.#requests === 0 ? 1 : this.#grants / this.#requests;
  }

  countRequest(): void {
    this.#requests++;
  }

  countGrant(): void {
    this.#grants++;
  }

  decay(): void {
    this.#requests *= DECAY_FACTOR;
    this.#grants *= DECAY_FACTOR;
  }
}

/** Served fractions and sizes of the requests of one tier and route. */
class PriorityClassStatistics {
  readonly all = new ServedFraction();
  readonly classes: Record<SizeClass, ServedFraction> = {
    largest: new ServedFraction(),
    large: new ServedFraction(),
    usual: new ServedFraction(),
  };
  readonly sizes = new RecentQuantiles();
  /**
   * Slot time in milliseconds per value of the response, of granted requests.
   */
  readonly grantedSlotTimes = new RecentQuantiles();

  countRequest(size: number, sizeClass: SizeClass): void {
    this.sizes.add(size);
    this.all.decay();
    for (const served of Object.values(this.classes)) served.decay();
    this.all.countRequest();
    this.classes[sizeClass].countRequest();
  }

  /**
   * True while the size class is served far less often than the priority class.
   */
  isUnderserved(sizeClass: SizeClass): boolean {
    if (this.all.requested < MINIMUM_REQUESTS) return false;
    const minimum = MINIMUM_RELATIVE_FRACTION * this.all.value;
    return this.classes[sizeClass].value < minimum;
  }

  classOf(size: number): SizeClass {
    if (size > (this.sizes.value(LARGEST_QUANTILE) ?? Infinity)) {
      return "largest";
    }
    const isLarge = size > (this.sizes.value(LARGE_QUANTILE) ?? Infinity);
    return isLarge ? "large" : "usual";
  }
}

/** The class that {@link SizeFairness.recordRequest} counts a request in. */
export type RequestClass = { priorityClass: string; sizeClass: SizeClass };

/** Tracks served fractions by priority class and size class. */
export class SizeFairness {
  readonly #statistics = new Map<string, PriorityClassStatistics>();

  /**
   * Counts a request, except for a retry, which was counted when it was
   * refused.
   */
  recordRequest(
    priorityClass: string,
    cost: Cost,
    isRetry: boolean,
  ): RequestClass {
    const statistics = this.#statistics.get(priorityClass) ??
      new PriorityClassStatistics();
    this.#statistics.set(priorityClass, statistics);
    const size = weightedTokens(cost);
    const sizeClass = statistics.classOf(size);
    if (!isRetry) statistics.countRequest(size, sizeClass);
    return { priorityClass, sizeClass };
  }

  /**
   * Counts a grant. `slotTime` is in milliseconds per value of the response.
   */
  recordGrant(
    { priorityClass, sizeClass }: RequestClass,
    slotTime: number,
  ): void {
    const statistics = this.#statistics.get(priorityClass);
    if (statistics === undefined) return;
    statistics.all.countGrant();
    statistics.classes[sizeClass].countGrant();
    statistics.grantedSlotTimes.add(slotTime);
  }

  /**
   * Returns the value to order a request by: its own, or a larger one while its
   * size class is underserved.
   */
  valueOf(
    { priorityClass, sizeClass }: RequestClass,
    cost: Cost,
    ownValue: number,
  ): number {
    const statistics = this.#statistics.get(priorityClass);
    const slotTime = statistics?.grantedSlotTimes.value(GRANTED_QUANTILE);
    if (!statistics?.isUnderserved(sizeClass) || slotTime === undefined) {
      return ownValue;
    }
    return Math.max(ownValue, nominalSlotTime(cost) / slotTime);
  }
}
