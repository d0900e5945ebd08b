/** The one suspect that runs alone on its server. @module */

/**
 * Milliseconds after which a run whose end was not reported no longer blocks
 * other suspects.
 */
const RUN_TIMEOUT = 300_000;

type Run = { fingerprint: string; backendServer: string; expiresAt: number };

/** Reserves a server for one suspect at a time. */
export class ReservedRun {
  #run: Run | undefined;

  /** Whether no other suspect is running. */
  mayStart(now: number): boolean {
    return this.#run === undefined || now >= this.#run.expiresAt;
  }

  /** Reserves the run; false if another suspect is running. */
  tryStart(fingerprint: string, backendServer: string, now: number): boolean {
    if (!this.mayStart(now)) return false;
    this.#run = { fingerprint, backendServer, expiresAt: now + RUN_TIMEOUT };
    return true;
  }

  /** Ends the run of this fingerprint, if it is the reserved one. */
  end(fingerprint: string): void {
    if (this.#run?.fingerprint === fingerprint) this.#run = undefined;
  }

  /** Ends the run on this server, which has crashed. */
  endAt(backendServer: string): void {
    if (this.#run?.backendServer === backendServer) this.#run = undefined;
  }
}
