/**
 * Paces the requests to one server by the limit that it states.
 *
 * It starts without a token: whoever granted before may have used up the limit
 * a moment ago. Tokens for a tenth of a second are kept, one at least, so that in
 * any span the server gets the limit for its length and little more.
 * @module
 */
import { TokenBucket } from "../quotas/mod.ts";

/** Seconds of a limit that may be used at once. */
const BURST_SECONDS = 0.1;
/** Requests a second at the least: only an answer can tell that a limit ended. */
const LEAST_RATE = 0.2;

/** Times in milliseconds. */
export class LimitedPace {
  readonly #bucket: TokenBucket;
  #part = 0;

  constructor(now: number) {
    this.#bucket = new TokenBucket(0, 0, now);
  }

  /** `part`: of the limit, up to 1, that is granted from here. */
  configure(perSecond: number, part: number, now: number): void {
    const rate = pacedRate(perSecond, part);
    this.#part = part;
    this.#bucket.configure(rate, Math.max(1, rate * BURST_SECONDS), now);
  }

  allows(now: number): boolean {
    return this.#part > 0 && this.#bucket.allows(1, now);
  }

  /** Counts a request that is sent. */
  take(now: number): void {
    this.#bucket.take(1, now);
  }

  /** A request reached no server. */
  giveBack(): void {
    this.#bucket.giveBack(1);
  }
}

/** Requests a second that are granted under a limit. */
export function pacedRate(perSecond: number, part: number): number {
  return Math.max(perSecond, LEAST_RATE) * part;
}
