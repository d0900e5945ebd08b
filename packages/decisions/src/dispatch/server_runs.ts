/**
 * The runs of one backend server. They outlast its place in the pool: a record
 * may be removed while requests still run, and their crash has to count.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";
import { ISOLATED_FROM } from "../suspects/mod.ts";
import type { CrashedRun } from "../suspects/mod.ts";
import { fingerprintsOf } from "./grant_request.ts";
import type { GrantRequest } from "./grant_request.ts";

/** One granted request at a server. */
export type Run = CrashedRun & {
  entry: string;
  cost: Cost;
  /** Its prompt counts as pending prefill, as the response has not started. */
  inPrefill: boolean;
  /** Maximum prompt tokens of pending prefill at the server during the run. */
  maximumPendingPrefill: number;
  /** The server has crashed since the run was granted. */
  precedesCrash: boolean;
};

/**
 * Milliseconds for which a run that broke counts as running when its server
 * turns out to have crashed: other entries may notice the crash later.
 */
const CRASH_WINDOW = 1000;

/** Runs by request id, and the pending prefill of their prompts. */
export class ServerRuns {
  readonly #runs = new Map<string, Run>();
  #pendingPrefillTokens = 0;
  /** It has crashed, and no request granted since has got a response. */
  #crashed = false;
  /** Runs without a complete response that ended lately. */
  #interrupted: (CrashedRun & { endedAt: number })[] = [];

  get size(): number {
    return this.#runs.size;
  }

  get pendingPrefillTokens(): number {
    return this.#pendingPrefillTokens;
  }

  get(id: string): Run | undefined {
    return this.#runs.get(id);
  }

  /** `suspects`: fingerprints of the request that are suspects. */
  add(request: GrantRequest, suspects: readonly string[]): void {
    const { entry, cost } = request;
    const inPrefill = cost.promptTokens > 0;
    if (inPrefill) this.#pendingPrefillTokens += cost.promptTokens;
    this.#runs.set(request.id, {
      entry,
      fingerprints: fingerprintsOf(request),
      suspects,
      cost,
      inPrefill,
      maximumPendingPrefill: 0,
      precedesCrash: false,
    });
    for (const run of this.#runs.values()) {
      run.maximumPendingPrefill = Math.max(
        run.maximumPendingPrefill,
        this.#pendingPrefillTokens,
      );
    }
  }

  /** Returns the run, if it is known, after its response has started. */
  recordResponseStart(id: string): Run | undefined {
    const run = this.#runs.get(id);
    if (run === undefined) return undefined;
    // Reports of several entries arrive in any order: a response that began
    // before the crash may be reported after it.
    if (!run.precedesCrash) this.#crashed = false;
    this.#endPrefill(run);
    return run;
  }

  remove(id: string): void {
    const run = this.#runs.get(id);
    if (run === undefined) return;
    this.#endPrefill(run);
    this.#runs.delete(id);
  }

  /** Removes the runs of an entry, whose connections have ended. */
  removeEntry(entry: string): void {
    for (const [id, run] of this.#runs) {
      if (run.entry === entry) this.remove(id);
    }
  }

  /** See `PooledServer.admitsSuspect`. */
  admitsSuspect(
    crashes: number,
    crashesOf: (fingerprints: readonly string[]) => number,
  ): boolean {
    for (const { fingerprints, suspects } of this.#runs.values()) {
      const runCrashes = crashesOf(fingerprints);
      if (suspects.length === 0 && runCrashes === 0) continue;
      if (Math.max(runCrashes, crashes) >= ISOLATED_FROM) return false;
    }
    return true;
  }

  /** Records that a run is about to end without a complete response. */
  recordInterruption(id: string, now: number): void {
    const run = this.#runs.get(id);
    if (run === undefined) return;
    const { fingerprints, suspects } = run;
    this.#interrupted = this.#interrupted
      .filter(({ endedAt }) => now - endedAt < CRASH_WINDOW);
    this.#interrupted.push({ fingerprints, suspects, endedAt: now });
  }

  /**
   * Records that the server has crashed. Returns what it was running, or
   * `undefined` if the crash is known.
   */
  recordCrash(now: number): CrashedRun[] | undefined {
    if (this.#crashed) return undefined;
    this.#crashed = true;
    for (const run of this.#runs.values()) run.precedesCrash = true;
    const interrupted = this.#interrupted
      .filter(({ endedAt }) => now - endedAt < CRASH_WINDOW);
    return [...this.#runs.values(), ...interrupted]
      .map(({ fingerprints, suspects }) => ({ fingerprints, suspects }));
  }

  #endPrefill(run: Run): void {
    if (!run.inPrefill) return;
    run.inPrefill = false;
    this.#pendingPrefillTokens -= run.cost.promptTokens;
  }
}
