/**
 * Limits the rate of requests to one server, over all entries together.
 *
 * A limiter starts without tokens, since another entry that granted before may
 * just have used up the limit. Only the granting entry of a group takes tokens,
 * and groups that can't reach each other divide the limit.
 * @module
 */
import { TokenBucket } from "../quotas/mod.ts";

/** Burst of a stated limit, in seconds of the limit. */
const BURST_SECONDS = 0.1;
/**
 * Minimum requests per second, also under a lower limit: only a response can
 * show that the limit has ended.
 */
const MINIMUM_RATE = 0.2;
/**
 * Fractions of the accepted requests that the bucket gains per second and holds.
 * Their sum is below 1, because requests may be sent later than granted.
 */
const START_RATE_PART = 0.75;
const START_BURST_PART = 0.1;
/**
 * Fraction of the accepted requests that entries which have just started may
 * send without having gained the tokens, and the number of such entries that
 * may begin to grant within a second. After a restart of all entries, several
 * grant in turn until the group is complete.
 */
const FRESH_START_PART = 0.15;
const FRESH_STARTS_PER_SECOND = 4;
/** Keeps the number of requests in a second below a whole number. */
const MARGIN = 0.01;

/** Token bucket for one server; times are in milliseconds. */
export abstract class ServerRateLimiter {
  readonly #bucket: TokenBucket;
  #isOpen = false;

  /** `initial`: tokens at the start. */
  constructor(now: number, initial = 0) {
    this.#bucket = new TokenBucket(0, initial, now);
  }

  /**
   * Sets the limit in requests per second, and the fraction of it, up to 1,
   * that is granted here.
   */
  abstract configure(limit: number, fraction: number, now: number): void;

  allows(now: number): boolean {
    return this.#isOpen && this.#bucket.allows(1, now);
  }

  /** Takes a token for a request that is sent. */
  take(now: number): void {
    this.#bucket.take(1, now);
  }

  /** Returns the token of a request that did not reach the server. */
  refund(): void {
    this.#bucket.refund(1);
  }

  /** `burst` of 0 admits nothing. */
  protected setRate(rate: number, burst: number, now: number): void {
    this.#isOpen = burst > 0;
    this.#bucket.configure(rate, burst, now);
  }
}

/** Keeps the rate that a server states in its responses. */
export class StatedRateLimiter extends ServerRateLimiter {
  override configure(perSecond: number, fraction: number, now: number): void {
    const rate = allowedRate(perSecond, fraction);
    const burst = fraction > 0 ? Math.max(1, rate * BURST_SECONDS) : 0;
    this.setRate(rate, burst, now);
  }
}

/** Keeps the number of requests that a server accepts in any second. */
export class StartRateLimiter extends ServerRateLimiter {
  /** The limiter of a server at an entry that has just started. */
  static atFreshStart(accepted: number, now: number): StartRateLimiter {
    const tokens = accepted * FRESH_START_PART / FRESH_STARTS_PER_SECOND;
    return new StartRateLimiter(now, Math.min(1, tokens));
  }

  /**
   * In any second this group sends at most the largest whole number of requests
   * in its part of `accepted`, so all groups together don't exceed it.
   */
  override configure(accepted: number, fraction: number, now: number): void {
    const maximum = Math.floor(accepted * fraction);
    if (maximum === 0) {
      this.setRate(0, 0, now);
      return;
    }
    const burst = Math.max(1, accepted * fraction * START_BURST_PART);
    const rate = Math.min(
      allowedStartRate(accepted, fraction),
      maximum + 1 - burst - MARGIN,
    );
    this.setRate(rate, burst, now);
  }
}

/** Requests per second that may be granted under a stated limit. */
export function allowedRate(perSecond: number, fraction: number): number {
  return Math.max(perSecond, MINIMUM_RATE) * fraction;
}

/** Requests per second that may be granted where a second is limited. */
export function allowedStartRate(accepted: number, fraction: number): number {
  return accepted * fraction * START_RATE_PART;
}
