/**
 * Bounds the servers of a service that suspects can crash at a time. While most
 * of its servers have crashed lately, suspects run at a fraction of them, so that
 * the others serve the requests under which none has crashed.
 * @module
 */

/** Milliseconds for which a crash of a server counts. */
const CRASH_MEMORY = 30_000;
/** Milliseconds within which a server that has crashed is back. */
const RETURN_TIME = 10_000;
/** Fraction of the servers that have to crash lately for the bound to apply. */
const CRASHED_FRACTION = 2 / 3;
/** Fraction of the servers at which suspects may run then; one at least. */
const SUSPECT_FRACTION = 1 / 3;

/** Where suspects may run while most servers of a service have crashed lately. */
export type SuspectRestriction = {
  /**
   * Addresses of the servers at which suspects run or ran, if they may run at no
   * others.
   */
  addresses?: ReadonlySet<string>;
};

type CrashedAddress = { at: number; isLost: boolean };

/** The last crashes of a service, by the address of the server. */
export class SuspectExposure {
  readonly #crashes = new Map<string, CrashedAddress>();

  /** `isLost`: it ran a restricted suspect and has not started again. */
  recordCrash(address: string, isLost: boolean, now: number): void {
    this.#crashes.set(address, { at: now, isLost });
  }

  /** Records another start at the address. */
  recordStart(address: string): void {
    const crash = this.#crashes.get(address);
    if (crash !== undefined) crash.isLost = false;
  }

  /** False if too few of `count` servers have crashed for a restriction. */
  mayRestrict(count: number): boolean {
    return this.#crashes.size > 0 &&
      this.#crashes.size >= CRASHED_FRACTION * count;
  }

  /**
   * Returns the restriction that is in force, if any. `addresses`: of all
   * servers of the service; `running`: of those that run suspects.
   */
  restriction(
    addresses: ReadonlySet<string>,
    running: ReadonlySet<string>,
    now: number,
  ): SuspectRestriction | undefined {
    const lost: string[] = [];
    for (const [address, { at, isLost }] of this.#crashes) {
      if (now - at >= CRASH_MEMORY) this.#crashes.delete(address);
      else if (isLost && now - at < RETURN_TIME) lost.push(address);
    }
    const count = new Set([...addresses, ...this.#crashes.keys()]).size;
    if (!this.mayRestrict(count)) return undefined;
    const used = new Set([...running, ...lost]);
    const limit = Math.max(1, Math.floor(SUSPECT_FRACTION * count));
    return used.size < limit ? {} : { addresses: used };
  }
}
