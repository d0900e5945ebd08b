/**
 * Quotas of organisations, held by whoever grants for a group of entries.
 *
 * An organisation that sends many times its usual would take the room of all
 * others. Its quota is over all entries, also over those that can't hear each
 * other, so whoever grants uses only its part of it: the parts add up to one at
 * most, and no agreement is needed while the fleet is divided.
 *
 * What operators accept in a window is let through mostly as a rate and only a
 * little as a burst: an organisation that used all of it at once would be refused
 * for the rest of the window.
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
 * Part of a burst that comes with a part of the quota: whoever had that part may
 * have let a whole burst through a moment ago.
 */
const TAKE_OVER_PART = 0.1;

/** What one organisation may use here. */
type Held = {
  bucket: TokenBucket;
  /** What may still come with parts that are taken over, in any window. */
  takeOvers: TokenBucket;
};

/** Buckets by organisation; see the module. */
export class OrganisationQuotas {
  readonly #held = new Map<string, Held>();
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
    for (const name of [...this.#held.keys()]) {
      if (!quotas.has(name)) this.#held.delete(name);
    }
    for (const [name, quota] of quotas) {
      this.#configure(name, quota, part, now);
    }
  }

  /** True if `tokens` can be charged to the organisation now. */
  allows(organisation: string, tokens: number, now: number): boolean {
    const held = this.#held.get(organisation);
    return held?.bucket.allows(tokens, now) ?? true;
  }

  /** Milliseconds until `tokens` can be charged; see {@link TokenBucket}. */
  waitFor(organisation: string, tokens: number, now: number): number {
    return this.#held.get(organisation)?.bucket.waitFor(tokens, now) ?? 0;
  }

  /** Charges `tokens` to the organisation; false if it may not use them now. */
  charge(organisation: string, tokens: number, now: number): boolean {
    return this.#held.get(organisation)?.bucket.take(tokens, now) ?? true;
  }

  /** Takes a charge back for work that did not run. */
  refund(organisation: string, tokens: number): void {
    this.#held.get(organisation)?.bucket.giveBack(tokens);
  }

  #configure(name: string, quota: Quota, part: number, now: number): void {
    const whole = this.#bounds(quota, 1);
    const largest = whole.burst * TAKE_OVER_PART;
    const gain = largest / this.#leeway.window * 1000;
    let held = this.#held.get(name);
    if (held === undefined) {
      held = {
        bucket: new TokenBucket(0, 0, now),
        takeOvers: new TokenBucket(gain, largest, now),
      };
      this.#held.set(name, held);
    }
    const { bucket, takeOvers } = held;
    const { rate, burst, used } = this.#bounds(quota, part);
    const gained = Math.max(0, burst - bucket.burst);
    takeOvers.configure(gain, largest, now);
    bucket.configure(rate, burst, now, used);
    bucket.giveBack(takeOvers.takeUpTo(gained * TAKE_OVER_PART, now));
  }

  /** `used`: the most that any window lets through. */
  #bounds(
    quota: Quota,
    part: number,
  ): { rate: number; burst: number; used: number } {
    const { window, overage, slack } = this.#leeway;
    const stated = quota.ratePerSecond * window / 1000 + quota.burst;
    const used = (stated * (1 + overage) + slack) * USED_PART * part;
    const rate = used * (1 - BURST_PART) / window * 1000;
    return { rate, burst: used * BURST_PART, used };
  }
}
