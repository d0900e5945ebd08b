/**
 * Tells a crash of the backend server from one broken connection.
 *
 * Failure: a request crashes each server that runs it. It shows as every
 * running request's connection breaking at about the same time with nobody
 * listening after. What ran then is suspect; a single cut while the server
 * still answers is not.
 * @module
 */

/** Cuts this close together, in milliseconds, belong to one crash. */
const CRASH_WINDOW = 2000;

type Cut = { fingerprint: string; at: number };

/** Collects cut requests until a probe says whether the server died. */
export class CrashWatch {
  #cuts: Cut[] = [];

  /** A running request's connection broke. */
  cut(fingerprint: string | undefined, now: number): void {
    this.#cuts = this.#cuts.filter((cut) => cut.at > now - CRASH_WINDOW);
    if (fingerprint !== undefined) this.#cuts.push({ fingerprint, at: now });
  }

  /** The server is down: the fingerprints of what ran as it died. */
  died(now: number): string[] {
    const recent = this.#cuts.filter((cut) => cut.at > now - CRASH_WINDOW);
    this.#cuts = [];
    return [...new Set(recent.map((cut) => cut.fingerprint))];
  }
}
