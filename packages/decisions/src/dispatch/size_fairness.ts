/**
 * Prevents the starvation of the largest requests of a priority class (tier and
 * route) while slots are scarce.
 *
 * The order by value per slot time puts the largest requests of a class last.
 * In a short burst that serves most requests on time, but as long as demand
 * exceeds capacity the end of the order is never served. Therefore each size
 * class is guaranteed a minimum share of the grants of its priority class.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";
import { RecentQuantiles } from "../estimates/recent_quantiles.ts";
import { GuaranteedShare } from "./guaranteed_share.ts";
import { weightedTokens } from "./response_value.ts";

/** The largest tenth of a priority class, the fifth below it, and the rest. */
export type SizeClass = "largest" | "large" | "usual";

/** Size classes with a guaranteed share of grants. */
type GuaranteedClass = Exclude<SizeClass, "usual">;

/** Fraction of the requests that are of each class. */
const REQUEST_SHARES: Record<GuaranteedClass, number> = {
  largest: 0.1,
  large: 0.2,
};
/** Quantile of the sizes above which a request is of the largest class. */
const LARGEST_QUANTILE = 1 - REQUEST_SHARES.largest;
/** Quantile of the sizes above which a request is at least large. */
const LARGE_QUANTILE = LARGEST_QUANTILE - REQUEST_SHARES.large;
/**
 * Minimum share of grants of a size class, as a fraction of its share of
 * requests.
 */
const GUARANTEED_FRACTION = 0.8;

/** The guaranteed share of a size class among the grants of its class. */
function shareOf(sizeClass: GuaranteedClass): GuaranteedShare {
  return new GuaranteedShare(GUARANTEED_FRACTION * REQUEST_SHARES[sizeClass]);
}

/** Sizes of the requests, and shares of the grants, of one tier and route. */
class PriorityClassGrants {
  readonly #sizes = new RecentQuantiles();
  readonly #shares: Record<GuaranteedClass, GuaranteedShare> = {
    largest: shareOf("largest"),
    large: shareOf("large"),
  };

  addSize(size: number): void {
    this.#sizes.add(size);
  }

  sizeClassOf(size: number): SizeClass {
    if (size > (this.#sizes.value(LARGEST_QUANTILE) ?? Infinity)) {
      return "largest";
    }
    const isLarge = size > (this.#sizes.value(LARGE_QUANTILE) ?? Infinity);
    return isLarge ? "large" : "usual";
  }

  useUpTolerance(): void {
    for (const share of Object.values(this.#shares)) share.useUpTolerance();
  }

  recordGrant(granted: SizeClass): void {
    this.#shares.largest.recordGrant(granted === "largest");
    this.#shares.large.recordGrant(granted === "large");
  }

  /** The class that is owed the most, if any is owed a grant. */
  get owedClass(): GuaranteedClass | undefined {
    const largest = this.#shares.largest.excess;
    const large = this.#shares.large.excess;
    if (Math.max(largest, large) <= 0) return undefined;
    return largest >= large ? "largest" : "large";
  }
}

/** The classes that a request belongs to. */
export type RequestClass = { priorityClass: string; sizeClass: SizeClass };

/** What is known of a request before it is queued. */
export type RequestHistory = {
  /** The request was refused before, and counted then. */
  isRetry: boolean;
  /** It has waited for a grant of another entry. */
  hasWaited: boolean;
};

/** Determines size classes, and which of them are owed a grant. */
export class SizeFairness {
  readonly #grants = new Map<string, PriorityClassGrants>();

  /**
   * Determines the class of a request by the sizes of recent ones. A request
   * that has waited elsewhere shows an overload that began under another
   * granting entry, so no further deficit is tolerated.
   */
  classify(
    priorityClass: string,
    cost: Cost,
    { isRetry, hasWaited }: RequestHistory,
  ): RequestClass {
    const grants = this.#grants.get(priorityClass) ?? new PriorityClassGrants();
    this.#grants.set(priorityClass, grants);
    const size = weightedTokens(cost);
    const sizeClass = grants.sizeClassOf(size);
    if (!isRetry) grants.addSize(size);
    if (hasWaited) grants.useUpTolerance();
    return { priorityClass, sizeClass };
  }

  recordGrant({ priorityClass, sizeClass }: RequestClass): void {
    this.#grants.get(priorityClass)?.recordGrant(sizeClass);
  }

  /** The size class that is owed the next grant of a priority class, if any. */
  owedClass(priorityClass: string): SizeClass | undefined {
    return this.#grants.get(priorityClass)?.owedClass;
  }
}
