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
const LEEWAY_PART = 0.5;

/** A rate over all entries. */
export type Quota = { ratePerSecond: number; burst: number };

/** Whether work may be charged, and when it may otherwise. */
export type QuotaVerdict =
  | { allowed: true }
  | { allowed: false; retryAfter: number };

/** Buckets by organisation; see the module. */
export class OrganisationQuotas {
  readonly #buckets = new Map<string, TokenBucket>();
  #quotas: ReadonlyMap<string, Quota> = new Map();
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
    this.#quotas = quotas;
    this.#part = part;
    for (const [name, bucket] of this.#buckets) {
      const quota = quotas.get(name);
      if (quota === undefined) {
        this.#buckets.delete(name);
        continue;
      }
      bucket.configure(quota.ratePerSecond * part, this.#burst(quota), now);
    }
  }

  /** Charges `tokens` to the organisation, or says when to come back. */
  charge(organisation: string, tokens: number, now: number): QuotaVerdict {
    const bucket = this.#bucket(organisation, now);
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

  #bucket(organisation: string, now: number): TokenBucket | undefined {
    const quota = this.#quotas.get(organisation);
    if (quota === undefined) return undefined;
    let bucket = this.#buckets.get(organisation);
    if (bucket === undefined) {
      bucket = new TokenBucket(
        quota.ratePerSecond * this.#part,
        this.#burst(quota),
        now,
      );
      this.#buckets.set(organisation, bucket);
    }
    return bucket;
  }
}
