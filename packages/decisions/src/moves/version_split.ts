/**
 * Selects the version for each request of a service during a move, at one
 * entry.
 *
 * Limits what a bad version receives: by its share, by a number of requests
 * while it is on trial, and by the number of calls in flight. Without the last
 * limit, a version that hangs would show no failures and would receive its full
 * share until the first deadlines pass.
 *
 * The remainder of the share is carried over from request to request, so that
 * with few requests the new version is neither left out nor selected several
 * times in a row by chance. The first remainder is random: otherwise 330
 * entries would all send nothing for their first 50 requests and then one
 * request at the same time.
 * @module
 */

/**
 * Maximum calls in flight on the new version for each entry during the trial.
 */
const MAXIMUM_IN_FLIGHT_ON_TRIAL = 8;

/** Limits from the move's record. */
export type SplitBounds = {
  /** Share of requests for the new version, 0 to 1. */
  share: number;
  /** Maximum requests of this entry during the trial; absent afterwards. */
  trialRequests?: number | undefined;
};

/** Splits the requests of one service between two versions. */
export class VersionSplit {
  #remainder: number;
  #bounds: SplitBounds = { share: 0 };
  #sent = 0;
  #inFlight = 0;
  #stopped = false;

  /** `firstRemainder` is random in [0, 1). */
  constructor(firstRemainder: number) {
    this.#remainder = firstRemainder;
  }

  /** Applies the limits of the move's current step. */
  setBounds(bounds: SplitBounds): void {
    this.#bounds = bounds;
  }

  /**
   * Stops sending requests to the new version, on this entry's own evidence and
   * before any record says so.
   */
  stop(): void {
    this.#stopped = true;
  }

  get stopped(): boolean {
    return this.#stopped;
  }

  /** Number of requests sent to the new version. */
  get sent(): number {
    return this.#sent;
  }

  /** Returns the version for the next request. */
  choose(): "from" | "to" {
    if (this.#stopped) return "from";
    this.#remainder = Math.min(this.#remainder + this.#bounds.share, 2);
    if (this.#remainder < 1 || !this.#isWithinTrialLimits()) return "from";
    this.#remainder--;
    this.#sent++;
    this.#inFlight++;
    return "to";
  }

  /** Records that a request to the new version ended, in whatever way. */
  recordEnd(): void {
    this.#inFlight = Math.max(this.#inFlight - 1, 0);
  }

  #isWithinTrialLimits(): boolean {
    const { trialRequests } = this.#bounds;
    if (trialRequests === undefined) return true;
    return this.#sent < trialRequests &&
      this.#inFlight < MAXIMUM_IN_FLIGHT_ON_TRIAL;
  }
}

/**
 * Returns one entry's portion of the trial's requests; at least 1, so that
 * every entry can detect failures.
 */
export function trialRequestsPerEntry(total: number, entries: number): number {
  return Math.max(1, Math.floor(total / Math.max(entries, 1)));
}
