/** Recognises reports of the same crash that arrive over several links. @module */

/**
 * Milliseconds within which reports of the same crash from several links are
 * treated as one.
 */
const DUPLICATE_CRASH_WINDOW = 10_000;
/** Maximum number of servers of which the last crash is remembered. */
const MAXIMUM_CRASHES = 256;

type Crash = { at: number; fingerprints: ReadonlySet<string> };

/** Last reported crash of each server. */
export class CrashReports {
  /** Ordered by the time of the report, oldest first. */
  readonly #crashes = new Map<string, Crash>();

  /**
   * Records a report; false if this crash, identified by its server and the
   * requests, was reported before.
   */
  isNew(
    running: ReadonlySet<string>,
    backendServer: string,
    now: number,
  ): boolean {
    if (this.#isDuplicate(running, backendServer, now)) return false;
    this.#crashes.delete(backendServer);
    this.#crashes.set(backendServer, { at: now, fingerprints: running });
    if (this.#crashes.size > MAXIMUM_CRASHES) {
      const [oldest] = this.#crashes.keys();
      this.#crashes.delete(oldest!);
    }
    return true;
  }

  /** The next report of the server is one of another crash. */
  forget(backendServer: string): void {
    this.#crashes.delete(backendServer);
  }

  #isDuplicate(
    running: ReadonlySet<string>,
    backendServer: string,
    now: number,
  ): boolean {
    const last = this.#crashes.get(backendServer);
    if (last === undefined || now - last.at >= DUPLICATE_CRASH_WINDOW) {
      return false;
    }
    if (last.fingerprints.size !== running.size) return false;
    return [...running].every((fingerprint) =>
      last.fingerprints.has(fingerprint)
    );
  }
}
