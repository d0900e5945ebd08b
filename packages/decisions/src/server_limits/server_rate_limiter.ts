/**
 * Limits the rate of requests to one server by the limit that the server
 * states.
 *
 * It starts without tokens, since another entry that granted before may just
 * have used up the limit. The burst is a tenth of a second, but at least one
 * token, so that in any period the server gets little more than its limit.
 * @module
 */
import { TokenBucket } from "../quotas/mod.ts";

/** Burst, in seconds of the limit. */
const BURST_SECONDS = 0.1;
/**
 * Minimum requests per second, also under a lower limit: only a response can
 * show that the limit has ended.
 */
const MINIMUM_RATE = 0.2;

/** Token bucket for one server; times are in milliseconds. */
export class ServerRateLimiter {
  readonly #bucket: TokenBucket;
  #fraction = 0;

  constructor(now: number) {
    this.#bucket = new TokenBucket(0, 0, now);
  }

  /** Sets the limit, and the fraction of it, up to 1, that is granted here. */
  configure(perSecond: number, fraction: number, now: number): void {
    const rate = allowedRate(perSecond, fraction);
    this.#fraction = fraction;
    this.#bucket.configure(rate, Math.max(1, rate * BURST_SECONDS), now);
  }

  allows(now: number): boolean {
    return this.#fraction > 0 && this.#bucket.allows(1, now);
  }

  /** Takes a token for a request that is sent. */
  take(now: number): void {
    this.#bucket.take(1, now);
  }

  /** Returns the token of a request that did not reach the server. */
  refund(): void {
    this.#bucket.refund(1);
  }
}

/** Requests per second that may be granted under a limit. */
export function allowedRate(perSecond: number, fraction: number): number {
  return Math.max(perSecond, MINIMUM_RATE) * fraction;
}
