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

/** Part of what is accepted that is used: requests on their way count later. */
const USED_PART = 0.95;
/** Part of that which is let through as a burst; the rest is the rate. */
const BURST_PART = 0.1;
/**
 * Part of the burst that whoever takes over begins with: whoever granted before
 * may have let a whole burst through a moment ago.
 */
const TAKE_OVER_PART = 0.1;

/** Buckets by organisation; see the module. */
export class OrganisationQuotas {
  readonly #buckets = new Map<string, TokenBucket>();
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
    for (const bucket of this.#buckets.values()) {
      bucket.lowerTo(TAKE_OVER_PART, now);
    }
  }

  /** True if `tokens` can be charged to the organisation now. */
  allows(organisation: string, tokens: number, now: number): boolean {
    return this.waitFor(organisation, tokens, now) <= 0;
  }

  /** Milliseconds until `tokens` can be charged, if nothing else is. */
  waitFor(organisation: string, tokens: number, now: number): number {
    return this.#buckets.get(organisation)?.waitFor(tokens, now) ?? 0;
  }

  /** Charges `tokens` to the organisation; false if it may not use them now. */
  charge(organisation: string, tokens: number, now: number): boolean {
    return this.#buckets.get(organisation)?.take(tokens, now) ?? true;
  }

  /** Takes a charge back for work that did not run. */
  refund(organisation: string, tokens: number): void {
    this.#buckets.get(organisation)?.giveBack(tokens);
  }

  #configure(name: string, quota: Quota, part: number, now: number): void {
    const { rate, burst } = this.#bounds(quota, part);
    const bucket = this.#buckets.get(name);
    if (bucket !== undefined) {
      bucket.configure(rate, burst, now);
      return;
    }
    const balance = burst * TAKE_OVER_PART;
    this.#buckets.set(name, new TokenBucket(rate, burst, now, balance));
  }

  #bounds(quota: Quota, part: number): { rate: number; burst: number } {
    const { window, overage, slack } = this.#leeway;
    const stated = quota.ratePerSecond * window / 1000 + quota.burst;
    const used = (stated * (1 + overage) + slack) * USED_PART * part;
    const rate = used * (1 - BURST_PART) / window * 1000;
    return { rate, burst: used * BURST_PART };
  }
}
