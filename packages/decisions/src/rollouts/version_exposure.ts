/**
 * Bounds the requests that a version gets before it is known to be good.
 *
 * The share is paced from request to request, so that the version neither gets
 * a burst after a pause nor waits for its share. Besides, all that it got is
 * bounded by its share of all requests up to then. Only the last steps of a
 * roll-out, in which it serves most requests, use up what the requests until
 * the time limit will allow, at the present rate.
 * @module
 */
import type { RolloutBounds } from "./rollout.ts";

/** Part of the slack that is used on purpose; the rest covers retries. */
const USED_SLACK = 0.7;
/** Requests, of the whole fleet, that the version may get at first. */
const FIRST_REQUESTS = 8;
/** Requests that are saved while the version can't be sent its share. */
const MAXIMUM_CREDIT = 4;
/** Part of the requests expected until the time limit that is relied on. */
const EXPECTED_PART = 0.8;
/** Part of the bound that is kept for the step with all requests. */
const KEPT_PART = 0.4;
/**
 * Part of the slack that is added to the shares up to the bound, spread over
 * the time: with little traffic, the shares alone show little.
 */
const SPREAD_SLACK = 0.6;
/** Largest share that this makes up. */
const MAXIMUM_SPREAD_SHARE = 0.5;
/** Milliseconds after which the rate of requests is known. */
const MINIMUM_RATE_TIME = 1000;

/** What an exposure is counted for. */
export type ExposureOptions = {
  bounds: RolloutBounds;
  /** Fraction of the fleet's requests that are granted here. */
  fraction: number;
  /** When the count began. */
  since: number;
  /** End of the roll-out; absent if no order is known. */
  until?: number | undefined;
  /** False if another entry may have used the slack before. */
  hasSlack: boolean;
  /** Requests that it got before. */
  granted?: number;
  /** Grants of the service that were counted before. */
  total?: number;
};

/** Counts the grants of one version that is not established. */
export class VersionExposure {
  readonly #options: ExposureOptions;
  #fraction: number;
  #slack: number;
  #credit: number;
  #granted: number;
  #total: number;

  constructor(options: ExposureOptions) {
    const { fraction, hasSlack, granted = 0, total = 0 } = options;
    this.#options = options;
    this.#fraction = fraction;
    this.#slack = this.#slackOf(fraction);
    this.#credit = hasSlack ? Math.max(1, FIRST_REQUESTS * fraction) : 1;
    this.#total = total;
    this.#granted = total > 0 ? granted : Math.min(granted, this.#slack);
    this.#credit = Math.max(0, this.#credit - this.#granted);
  }

  /** Sets the fraction of the fleet's requests that are granted here. */
  setFraction(fraction: number): void {
    this.#fraction = fraction;
    this.#slack = this.#slackOf(fraction);
  }

  /** Grants of the version. */
  get granted(): number {
    return this.#granted;
  }

  /** Whether the slack may be used. */
  get hasSlack(): boolean {
    return this.#options.hasSlack;
  }

  /** Grants of the service. */
  get total(): number {
    return this.#total;
  }

  /** Records a grant of the service, while the version has this share. */
  recordGrant(isExposed: boolean, share: number, now: number): void {
    this.#total++;
    this.#credit = Math.min(
      this.#credit + this.#pacedShare(share, now),
      Math.max(this.#credit, MAXIMUM_CREDIT),
    );
    if (!isExposed) return;
    this.#granted++;
    this.#credit = Math.max(0, this.#credit - 1);
  }

  /** Whether the version may get the next request. */
  mayGrant(share: number, now: number): boolean {
    if (share <= 0 || this.isExhausted(share, now)) return false;
    return share >= 1 || this.#credit >= 1;
  }

  /** Whether it got all that it may get until now. */
  isExhausted(share: number, now: number): boolean {
    return this.#granted + 1 > this.#bound(share, now);
  }

  /**
   * Whether all requests of `duration` milliseconds, at the present rate, are no
   * more than the slack.
   */
  coversAll(duration: number, now: number): boolean {
    const { bounds, since } = this.#options;
    const elapsed = now - since;
    if (elapsed < MINIMUM_RATE_TIME) return false;
    const requests = this.#total * duration / elapsed;
    return requests <= bounds.exposedSlack * this.#fraction;
  }

  #slackOf(fraction: number): number {
    const { bounds, hasSlack } = this.#options;
    return hasSlack ? USED_SLACK * bounds.exposedSlack * fraction : 1;
  }

  #bound(share: number, now: number): number {
    const { exposedShare } = this.#options.bounds;
    if (share <= exposedShare) {
      return this.#slack + exposedShare * this.#total;
    }
    const expected = this.#total + EXPECTED_PART * this.#expectedRequests(now);
    const bound = this.#slack + exposedShare * expected;
    return share >= 1 ? bound : (1 - KEPT_PART) * bound;
  }

  #pacedShare(share: number, now: number): number {
    const { bounds, since, until } = this.#options;
    if (
      share > bounds.exposedShare || until === undefined ||
      now - since < MINIMUM_RATE_TIME
    ) return share;
    const requests = this.#total + this.#expectedRequests(now);
    const added = SPREAD_SLACK * this.#slack / requests;
    return share + Math.min(added, MAXIMUM_SPREAD_SHARE);
  }

  #expectedRequests(now: number): number {
    const { since, until } = this.#options;
    if (until === undefined) return 0;
    const elapsed = Math.max(MINIMUM_RATE_TIME, now - since);
    return this.#total * Math.max(0, until - now) / elapsed;
  }
}
