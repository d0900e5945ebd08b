/**
 * The last crashes of servers with all that ran at each, so that a crash whose
 * cause is found later no longer counts against the other requests.
 * @module
 */

import { isPromptPart } from "./prompt_part.ts";

const MAXIMUM_CRASHES = 256;

type RecordedCrash = {
  at: number;
  /** Fingerprints of each request that ran. */
  runs: readonly (readonly string[])[];
};

/** A fingerprint that no longer counts as a possible cause of a crash. */
export type ClearedCrash = { fingerprint: string; at: number };

/** Crashes without a known cause, oldest first. */
export class RecentCrashes {
  #crashes: RecordedCrash[] = [];

  record(runs: readonly (readonly string[])[], now: number): void {
    this.#crashes.push({ at: now, runs });
    if (this.#crashes.length > MAXIMUM_CRASHES) this.#crashes.shift();
  }

  /**
   * Removes the crashes that requests with all these fingerprints explain.
   * Returns what ran as well; other fingerprints of the same requests only if
   * the cause is a single part, as they may be the cause otherwise.
   */
  explain(fingerprints: readonly string[]): ClearedCrash[] {
    const [first] = fingerprints;
    const isSinglePart = fingerprints.length === 1 && isPromptPart(first!);
    const cleared: ClearedCrash[] = [];
    this.#crashes = this.#crashes.filter(({ at, runs }) => {
      const causes = runs.filter((run) => includesAll(run, fingerprints));
      if (causes.length === 0) return true;
      const remaining = new Set(isSinglePart ? fingerprints : causes.flat());
      for (const fingerprint of new Set(runs.flat())) {
        if (!remaining.has(fingerprint)) cleared.push({ fingerprint, at });
      }
      return false;
    });
    return cleared;
  }
}

/** Whether a request has all fingerprints of a set. */
export function includesAll(
  request: readonly string[],
  set: readonly string[],
): boolean {
  return set.every((fingerprint) => request.includes(fingerprint));
}
