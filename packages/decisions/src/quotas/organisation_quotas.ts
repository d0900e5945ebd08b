/**
 * Quotas of organisations, held by whoever grants for a group of entries that
 * hear each other.
 *
 * Answers the organisation that sends many times its usual: without a quota it
 * takes the room of all others. The quota is over all entries, also over those
 * that can't hear each other, so each group uses only its part of it: the parts
 * of all groups add up to one, and no agreement is needed while the fleet is
 * divided.
 *
 * What operators accept in a window is let through mostly as a rate and only a
 * little as a burst. A window that may be used up at once was tried: an
 * organisation that did so was then refused for the rest of it (4,123 refusals
 * against 2,323 in the same traffic).
 * @module
 */
import { TokenBucket } from "./token_bucket.ts";

/** What an organisation may use over all entries. */
export type Quota = { ratePerSecond: number; burst: number };

/**
 * What is accepted beyond rate and burst in any window, as operators state it:
 * `overage` is a share of both, `slack` an amount; `window` in milliseconds.
 */
export type QuotaLeeway = { window: number; overage: number; slack: number };

/**
 * Whether work may be charged, and in how many ms it may otherwise. `excess`: it
 * is beyond the quota and within what is accepted beyond; it takes no room from
 * work within its quota.
 */
export type QuotaVerdict =
  | { allowed: true; excess: boolean }
  | { allowed: false; retryAfter: number };

/** Part of what is accepted that is used: requests on their way count later. */
const USED_PART = 0.95;
/** Part of that which is let through as a burst; the rest is the rate. */
const BURST_PART = 0.1;
/**
 * Part of the burst that whoever takes over begins with: whoever granted before
 * may have let a whole burst through a moment ago.
 */
const TAKE_OVER_PART = 0.1;

type Buckets = {
  /** Rate and burst as stated. */
  stated: TokenBucket;
  /** All that is accepted. */
  accepted: TokenBucket;
};

/** Buckets by organisation; see the module. */
export class OrganisationQuotas {
  readonly #buckets = new Map<string, Buckets>();
  #leeway: QuotaLeeway;

  constructor(leeway: QuotaLeeway) {
    this.#leeway = leeway;
  }

  /** Takes over what operators accept; in force with the next `configure`. */
  setLeeway(leeway: QuotaLeeway): void {
    this.#leeway = leeway;
  }

  /** Takes over the quotas in force and this group's part of them, up to 1. */
  configure(
    quotas: ReadonlyMap<string, Quota>,
    part: number,
    now: number,
  ): void {
    for (const name of [...this.#buckets.keys()]) {
      if (!quotas.has(name)) this.#buckets.delete(name);
    }
    for (const [name, quota] of quotas) {
      this.#configure(name, quota, part, now);
    }
  }

  /** Begins to hold quotas that another entry held until now. */
  takeOver(now: number): void {
    for (const { accepted } of this.#buckets.values()) {
      accepted.lowerTo(TAKE_OVER_PART, now);
    }
  }

  /** Charges `tokens` to the organisation, or says when to come back. */
  charge(organisation: string, tokens: number, now: number): QuotaVerdict {
    const buckets = this.#buckets.get(organisation);
    if (buckets === undefined) return { allowed: true, excess: false };
    const { stated, accepted } = buckets;
    if (accepted.take(tokens, now)) {
      return { allowed: true, excess: !stated.take(tokens, now) };
    }
    return { allowed: false, retryAfter: accepted.waitFor(tokens, now) };
  }

  /** Takes a charge back for work that did not run. */
  refund(organisation: string, tokens: number): void {
    this.#buckets.get(organisation)?.accepted.giveBack(tokens);
  }

  #configure(name: string, quota: Quota, part: number, now: number): void {
    const rate = quota.ratePerSecond * part;
    const burst = quota.burst * part;
    const bounds = this.#bounds(quota, part);
    const buckets = this.#buckets.get(name);
    if (buckets !== undefined) {
      buckets.stated.configure(rate, burst, now);
      buckets.accepted.configure(bounds.rate, bounds.burst, now);
      return;
    }
    const balance = bounds.burst * TAKE_OVER_PART;
    this.#buckets.set(name, {
      stated: new TokenBucket(rate, burst, now),
      accepted: new TokenBucket(bounds.rate, bounds.burst, now, balance),
    });
  }

  #bounds(quota: Quota, part: number): { rate: number; burst: number } {
    const { window, overage, slack } = this.#leeway;
    const stated = quota.ratePerSecond * window / 1000 + quota.burst;
    const used = (stated * (1 + overage) + slack) * USED_PART * part;
    const rate = used * (1 - BURST_PART) / window * 1000;
    return { rate, burst: used * BURST_PART };
  }
}
