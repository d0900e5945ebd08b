/**
 * Which version a request gets while a move runs, decided at each entry.
 *
 * Bounds what a bad version receives: by share, by count while it is on trial,
 * and by the calls that have not ended. Without the last, a version that hangs
 * shows nothing and collects its full share until the first deadlines pass.
 *
 * The share is kept exactly by carrying the remainder over, so that few
 * requests neither miss the new version nor hit it in a row by chance. The
 * first remainder is random: else 330 entries would send nothing for their
 * first 50 requests and then all at once.
 * @module
 */

/** Calls in flight on the new version, per entry, while it is on trial. */
const MOST_UNENDED_ON_TRIAL = 8;

/** What the move's record allows now. */
export type SplitBounds = {
  /** Share of requests for the new version, 0 to 1. */
  share: number;
  /** Requests that this entry may still send on trial; absent afterwards. */
  trialRequests?: number | undefined;
};

/** Splits one service's requests between two versions. */
export class VersionSplit {
  #remainder: number;
  #bounds: SplitBounds = { share: 0 };
  #sent = 0;
  #unended = 0;
  #stopped = false;

  /** `firstRemainder` is random in [0, 1). */
  constructor(firstRemainder: number) {
    this.#remainder = firstRemainder;
  }

  /** Takes over the bounds of the move's present step. */
  setBounds(bounds: SplitBounds): void {
    this.#bounds = bounds;
  }

  /** Sends nothing more, on own evidence, before any record says so. */
  stop(): void {
    this.#stopped = true;
  }

  get stopped(): boolean {
    return this.#stopped;
  }

  /** Requests sent to the new version. */
  get sent(): number {
    return this.#sent;
  }

  /** Decides for the next request. */
  choose(): "from" | "to" {
    if (this.#stopped) return "from";
    this.#remainder = Math.min(this.#remainder + this.#bounds.share, 2);
    if (this.#remainder < 1 || !this.#mayTry()) return "from";
    this.#remainder--;
    this.#sent++;
    this.#unended++;
    return "to";
  }

  /** States the end, of whatever kind, of a request that was sent to `to`. */
  requestEnded(): void {
    this.#unended = Math.max(this.#unended - 1, 0);
  }

  #mayTry(): boolean {
    const { trialRequests } = this.#bounds;
    if (trialRequests === undefined) return true;
    return this.#sent < trialRequests &&
      this.#unended < MOST_UNENDED_ON_TRIAL;
  }
}

/** One entry's part of the trial's requests; never zero, so each can show. */
export function trialRequestsPerEntry(total: number, entries: number): number {
  return Math.max(1, Math.floor(total / Math.max(entries, 1)));
}
