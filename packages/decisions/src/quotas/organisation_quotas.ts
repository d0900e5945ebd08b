/**
 * Quotas of organisations, held by whoever grants for a group of entries that
 * hear each other.
 *
 * Answers the organisation that sends many times its usual: without a quota it
 * takes the room of all others. The quota is over all entries, also over those
 * that can't hear each other, so each group uses only its part of the rate: the
 * parts of all groups add up to one, and no agreement is needed while the fleet
 * is divided.
 * @module
 */
import { TokenBucket } from "./token_bucket.ts";

/**
 * What may be let through beyond rate and burst in any window, as operators
 * state it: `overage` is a share of both, `slack` an amount. Part of it is left
 * for what groups of entries use twice while they learn of each other.
 */
export type QuotaLeeway = {
  /** Milliseconds. */
  window: number;
  overage: number;
  slack: number;
};

/** Part of the leeway that is let through; see {@link QuotaLeeway}. */
const LEEWAY_PART = 0.4;
/**
 * Part of the burst that whoever takes over begins with: whoever granted before
 * may have let a whole burst through a moment ago, and with another one on top a
 * window would hold more than is accepted.
 */
const TAKE_OVER_PART = 0.2;

/** A rate over all entries. */
export type Quota = { ratePerSecond: number; burst: number };

/** Whether work may be charged, and when it may otherwise. */
export type QuotaVerdict =
  | { allowed: true }
  | { allowed: false; retryAfter: number };

/** Buckets by organisation; see the module. */
export class OrganisationQuotas {
  readonly #buckets = new Map<string, TokenBucket>();
  readonly #leeway: QuotaLeeway;
  #part = 1;

  constructor(leeway: QuotaLeeway = { window: 1000, overage: 0, slack: 0 }) {
    this.#leeway = leeway;
  }

  /** Takes over the quotas in force and this group's part of them, up to 1. */
  configure(
    quotas: ReadonlyMap<string, Quota>,
    part: number,
    now: number,
  ): void {
    this.#part = part;
    for (const name of [...this.#buckets.keys()]) {
      if (!quotas.has(name)) this.#buckets.delete(name);
    }
    for (const [name, quota] of quotas) {
      const rate = quota.ratePerSecond * part;
      const burst = this.#burst(quota);
      const bucket = this.#buckets.get(name);
      if (bucket !== undefined) bucket.configure(rate, burst, now);
      else this.#buckets.set(name, new TokenBucket(rate, burst, now, 0));
    }
  }

  /** Begins to hold quotas that another entry held until now. */
  takeOver(now: number): void {
    for (const bucket of this.#buckets.values()) {
      bucket.lowerTo(TAKE_OVER_PART, now);
    }
  }

  /** Charges `tokens` to the organisation, or says when to come back. */
  charge(organisation: string, tokens: number, now: number): QuotaVerdict {
    const bucket = this.#buckets.get(organisation);
    if (bucket === undefined || bucket.take(tokens, now)) {
      return { allowed: true };
    }
    return { allowed: false, retryAfter: bucket.waitFor(tokens, now) };
  }

  /** Takes a charge back for work that did not run. */
  refund(organisation: string, tokens: number): void {
    this.#buckets.get(organisation)?.giveBack(tokens);
  }

  #burst(quota: Quota): number {
    const { window, overage, slack } = this.#leeway;
    const stated = quota.ratePerSecond * window / 1000 + quota.burst;
    return this.#part *
      (quota.burst + LEEWAY_PART * (overage * stated + slack));
  }
}
