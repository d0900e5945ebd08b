/**
 * Enforces the quotas of organisations at the entry that grants for a group.
 *
 * Without quotas, an organisation that sends many times its usual load would
 * take the capacity of all others. A quota applies to the whole fleet, also
 * while entries are disconnected from each other. Therefore each granting entry
 * uses only its group's fraction of it. The fractions add up to one at most, so
 * that no agreement is needed while the fleet is divided.
 *
 * Of the amount that operators accept in a window, most is granted as a rate
 * and only little as a burst: an organisation that used all of it at once would
 * be refused for the rest of the window.
 * @module
 */
import { TokenBucket } from "./token_bucket.ts";

/** What an organisation may use in the whole fleet, in tokens. */
export type Quota = { ratePerSecond: number; burst: number };

/**
 * What operators accept beyond rate and burst in any window of `window`
 * milliseconds: `overage` is a fraction of both, `slack` an amount in tokens.
 */
export type QuotaLeeway = { window: number; overage: number; slack: number };

/**
 * Fraction of the accepted amount that is granted. A margin is left, because
 * requests that are on their way count later.
 */
const GRANTED_FRACTION = 0.95;
/** Fraction of the granted amount that is the burst; the rest is the rate. */
const BURST_FRACTION = 0.1;
/**
 * Fraction of the burst that is available at once when the group's fraction of
 * a quota grows: the entry that had this fraction before may just have granted
 * a whole burst.
 */
const TAKE_OVER_FRACTION = 0.1;

/**
 * Smallest weight: a quota of almost nothing would hold an organisation back for
 * minutes after a single grant.
 */
const MINIMUM_WEIGHT = 0.05;

/** Buckets of one organisation. */
type OrganisationBuckets = {
  /** What the organisation may use here. */
  bucket: TokenBucket;
  /** What increases of the fraction may still add in a window. */
  takeOvers: TokenBucket;
};

/** Quotas of all organisations, limited to this group's fraction. */
export class OrganisationQuotas {
  readonly #buckets = new Map<string, OrganisationBuckets>();
  #weights: ReadonlyMap<string, number> = new Map();
  #leeway: QuotaLeeway;

  constructor(leeway: QuotaLeeway) {
    this.#leeway = leeway;
  }

  /** Sets the accepted leeway, which takes effect with the next `configure`. */
  setLeeway(leeway: QuotaLeeway): void {
    this.#leeway = leeway;
  }

  /**
   * Sets the quotas, and the fraction of them, up to 1, that this group uses.
   */
  configure(
    quotas: ReadonlyMap<string, Quota>,
    fraction: number,
    now: number,
  ): void {
    for (const name of [...this.#buckets.keys()]) {
      if (!quotas.has(name)) this.#buckets.delete(name);
    }
    for (const [name, quota] of quotas) {
      this.#configure(name, quota, fraction, now);
    }
    this.#weights = weightsOf(quotas);
  }

  /**
   * Weight of an organisation where capacity is divided: the rate of its quota
   * by the mean rate; 1 without a quota.
   */
  weightOf(organisation: string): number {
    return this.#weights.get(organisation) ?? 1;
  }

  /** True if `tokens` can be charged to the organisation now. */
  allows(organisation: string, tokens: number, now: number): boolean {
    const buckets = this.#buckets.get(organisation);
    return buckets?.bucket.allows(tokens, now) ?? true;
  }

  /** See {@link TokenBucket.waitFor}; 0 without a quota. */
  waitFor(organisation: string, tokens: number, now: number): number {
    return this.#buckets.get(organisation)?.bucket.waitFor(tokens, now) ?? 0;
  }

  /**
   * Charges `tokens` to the organisation; returns false if they aren't
   * available.
   */
  charge(organisation: string, tokens: number, now: number): boolean {
    return this.#buckets.get(organisation)?.bucket.take(tokens, now) ?? true;
  }

  /** Refunds the charge of a request that did not run. */
  refund(organisation: string, tokens: number): void {
    this.#buckets.get(organisation)?.bucket.refund(tokens);
  }

  #configure(name: string, quota: Quota, fraction: number, now: number): void {
    const whole = this.#bounds(quota, 1);
    const takeOverBurst = whole.burst * TAKE_OVER_FRACTION;
    const takeOverRate = takeOverBurst / this.#leeway.window * 1000;
    let buckets = this.#buckets.get(name);
    if (buckets === undefined) {
      buckets = {
        bucket: new TokenBucket(0, 0, now),
        takeOvers: new TokenBucket(takeOverRate, takeOverBurst, now),
      };
      this.#buckets.set(name, buckets);
    }
    const { bucket, takeOvers } = buckets;
    const { rate, burst, perWindow } = this.#bounds(quota, fraction);
    const gained = Math.max(0, burst - bucket.burst);
    takeOvers.configure(takeOverRate, takeOverBurst, now);
    bucket.configure(rate, burst, now, perWindow);
    bucket.refund(takeOvers.takeUpTo(gained * TAKE_OVER_FRACTION, now));
  }

  /** `perWindow` is the maximum that is granted in any window. */
  #bounds(
    quota: Quota,
    fraction: number,
  ): { rate: number; burst: number; perWindow: number } {
    const { window, overage, slack } = this.#leeway;
    const base = quota.ratePerSecond * window / 1000 + quota.burst;
    const perWindow = (base * (1 + overage) + slack) * GRANTED_FRACTION *
      fraction;
    const rate = perWindow * (1 - BURST_FRACTION) / window * 1000;
    return { rate, burst: perWindow * BURST_FRACTION, perWindow };
  }
}

function weightsOf(quotas: ReadonlyMap<string, Quota>): Map<string, number> {
  const weights = new Map<string, number>();
  let total = 0;
  for (const { ratePerSecond } of quotas.values()) total += ratePerSecond;
  for (const [name, { ratePerSecond }] of quotas) {
    const weight = ratePerSecond * quotas.size / total;
    weights.set(name, Math.max(MINIMUM_WEIGHT, weight));
  }
  return weights;
}
