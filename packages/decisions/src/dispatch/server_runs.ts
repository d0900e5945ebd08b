/**
 * The runs of one backend server. They outlast its place in the pool: a record
 * may be removed while requests still run, and their crash has to count.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";
import { memoryTokensOf } from "./server_memory.ts";
import { fingerprintsOf } from "./grant_request.ts";
import type { GrantRequest } from "./grant_request.ts";
import { PauseGoals } from "./pause_goals.ts";
import type { GrantedRun } from "./unresolved_runs.ts";

/** One granted request at a server. */
export type Run = GrantedRun & {
  entry: string;
  cost: Cost;
  /** See {@link GrantRequest}. */
  pauseGoal: number | undefined;
  /** See {@link memoryTokensOf}. */
  memoryTokens: number;
  /** Its prompt counts as pending prefill, as the response has not started. */
  inPrefill: boolean;
  /** Maximum prompt tokens of pending prefill at the server during the run. */
  maximumPendingPrefill: number;
  /** The server has crashed since the run was granted. */
  precedesCrash: boolean;
  hasResponded: boolean;
  /** Pace that the server's reports gave when the run was granted. */
  paceAtGrant: number;
  /** When its response started, and {@link ReportedLoad.paceIntegral} then. */
  responseStart: { at: number; paceIntegral: number } | undefined;
};

/** Runs by request id, and the pending prefill of their prompts. */
export class ServerRuns {
  readonly #runs = new Map<string, Run>();
  readonly pauseGoals = new PauseGoals();
  #pendingPrefillTokens = 0;
  #memoryTokens = 0;
  /** It has crashed, and no request granted since has got a response. */
  #crashed = false;

  get size(): number {
    return this.#runs.size;
  }

  get pendingPrefillTokens(): number {
    return this.#pendingPrefillTokens;
  }

  /** Tokens of the server's memory that all runs together need at most. */
  get memoryTokens(): number {
    return this.#memoryTokens;
  }

  /** Whether its crash is known, and no later response is. */
  get crashed(): boolean {
    return this.#crashed;
  }

  get(id: string): Run | undefined {
    return this.#runs.get(id);
  }

  /** Whether the server has responded to all requests that it runs. */
  get haveResponded(): boolean {
    for (const { hasResponded } of this.#runs.values()) {
      if (!hasResponded) return false;
    }
    return true;
  }

  /** Whether a request runs that is restricted as a suspect. */
  get areRestricted(): boolean {
    for (const { isRestricted } of this.#runs.values()) {
      if (isRestricted) return true;
    }
    return false;
  }

  /**
   * Adds a run; see {@link GrantedRun} and {@link Run} for the fields of
   * `granted`.
   */
  add(
    request: GrantRequest,
    granted:
      & Omit<GrantedRun, "id" | "fingerprints">
      & Partial<Pick<Run, "paceAtGrant">>,
  ): void {
    const { id, entry, cost, pauseGoal } = request;
    this.pauseGoals.remove(this.#runs.get(id)?.pauseGoal);
    this.pauseGoals.add(pauseGoal);
    const inPrefill = cost.promptTokens > 0;
    if (inPrefill) this.#pendingPrefillTokens += cost.promptTokens;
    const memoryTokens = memoryTokensOf(request);
    const replaced = this.#runs.get(id)?.memoryTokens ?? 0;
    this.#memoryTokens += memoryTokens - replaced;
    this.#runs.set(id, {
      id,
      suspects: granted.suspects,
      isRestricted: granted.isRestricted,
      grantedAt: granted.grantedAt,
      isConclusive: granted.isConclusive,
      entry,
      fingerprints: fingerprintsOf(request),
      cost,
      pauseGoal,
      memoryTokens,
      inPrefill,
      maximumPendingPrefill: 0,
      precedesCrash: false,
      hasResponded: false,
      paceAtGrant: granted.paceAtGrant ?? 1,
      responseStart: undefined,
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
    run.hasResponded = true;
    this.#endPrefill(run);
    return run;
  }

  remove(id: string): void {
    const run = this.#runs.get(id);
    if (run === undefined) return;
    this.#endPrefill(run);
    this.pauseGoals.remove(run.pauseGoal);
    this.#memoryTokens -= run.memoryTokens;
    this.#runs.delete(id);
  }

  /** Removes the runs of an entry, whose connections have ended. */
  removeEntry(entry: string): void {
    for (const [id, run] of this.#runs) {
      if (run.entry === entry) this.remove(id);
    }
  }

  [Symbol.iterator](): Iterator<Run> {
    return this.#runs.values();
  }

  /**
   * Records that the server has crashed. Returns what it was running, or
   * `undefined` if the crash is known.
   */
  recordCrash(): GrantedRun[] | undefined {
    if (this.#crashed) return undefined;
    this.#crashed = true;
    const running = [...this.#runs.values()];
    for (const run of running) run.precedesCrash = true;
    return running;
  }

  #endPrefill(run: Run): void {
    if (!run.inPrefill) return;
    run.inPrefill = false;
    this.#pendingPrefillTokens -= run.cost.promptTokens;
  }
}
