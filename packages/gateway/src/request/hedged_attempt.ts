/**
 * Runs a request at a server and, while that server is silent, at another one.
 * {@link HedgedRuns} decides which run feeds the caller.
 * @module
 */
import { HedgedRuns, incarnationOf } from "@sycamorepulley/decisions";
import type {
  HedgeAction,
  ServerReachability,
  ServerRecord,
} from "@sycamorepulley/decisions";
import type { ProbeResult } from "../backend/server_probes.ts";
import type { ExchangeResult } from "./exchange.ts";
import { HedgePlacement } from "./hedge_placement.ts";
import type { PlacementSteps } from "./hedge_placement.ts";
import type { RunClosure } from "./run_closure.ts";
import type {
  AttemptHooks,
  AttemptResult,
  AttemptTarget,
  ServerAttempt,
} from "./server_attempt.ts";

/**
 * Maximum milliseconds for which two runs are open of which neither has sent a
 * part since the second one was sent. A probe takes less.
 */
const MAXIMUM_OVERLAP = 300;

/**
 * Maximum age in milliseconds of the probe that is started with the second run:
 * one lost packet is no proof that the server is unreachable.
 */
const CONFIRMING_PROBE_AGE = 20;

/** Lowest HTTP status of an error. */
const FIRST_ERROR = 400;

/** How a hedge ended, or that its run was sent. */
export type HedgeState = "started" | "won" | "lost" | "not_granted";

/** The run on which the request depends in the end. */
export type DecidingRun = { target: AttemptTarget; end: AttemptResult };

/** What a hedged attempt needs of its request. */
export type HedgeHost = PlacementSteps & {
  clock: () => number;
  /** Milliseconds that the caller waits for a part of the response. */
  patience: number;
  /** Milliseconds since the caller sent its request or received something. */
  waited: () => number;
  createRun: (target: AttemptTarget, hooks: AttemptHooks) => ServerAttempt;
  /**
   * Whether a run must not go on while a reachable server works on another one:
   * the events of both would be the same work done twice.
   */
  isOverlapBounded: boolean;
  /** Whether the request may be sent to another server. */
  mayHedge: () => boolean;
  /** Takes a retry from the budget; false if it is exhausted. */
  consumeRetry: (server: ServerRecord, reason: string) => boolean;
  /** `maximumAge`: of the probe, in milliseconds. */
  probe: (server: ServerRecord, maximumAge?: number) => Promise<ProbeResult>;
  /** Whether the result answers the request if no other run is open. */
  isAnswer: (result: ExchangeResult) => boolean;
  /** Whether the result is a response that can be passed on. */
  isSendable: (result: ExchangeResult) => boolean;
  /** Called once for each run, when it has ended. */
  recordRunEnd: (target: AttemptTarget, end: AttemptResult) => void;
  recordHedge: (silent: ServerRecord, state: HedgeState) => void;
};

type Run = { target: AttemptTarget; attempt: ServerAttempt };

/** Runs a request until one of its runs is complete or all have ended. */
export class HedgedAttempt {
  readonly #host: HedgeHost;
  readonly #hedgedRuns: HedgedRuns;
  readonly #runs = new Map<number, Run>();
  readonly #done: Promise<DecidingRun>;
  #resolveDone!: (run: DecidingRun) => void;
  #rejectDone!: (error: unknown) => void;
  #runCount = 0;
  #finished = false;
  #lastEnd: DecidingRun | undefined;
  /** The run whose response answers the request. */
  #answering: number | undefined;
  #placement: HedgePlacement | undefined;
  #overlapTimer: NodeJS.Timeout | undefined;
  /** The silent server, while another run of the request is open. */
  #hedged: ServerRecord | undefined;
  #lastProbe: ProbeResult | undefined;

  constructor(host: HedgeHost) {
    this.#host = host;
    this.#hedgedRuns = new HedgedRuns({ patience: host.patience });
    this.#done = new Promise((resolve, reject) => {
      this.#resolveDone = resolve;
      this.#rejectDone = reject;
    });
  }

  /** Resolves to the run that is complete, or to the one that ended last. */
  run(target: AttemptTarget): Promise<DecidingRun> {
    this.#start(target);
    return this.#done;
  }

  /** Ends all runs, and the search for another server. */
  cancel(closure: RunClosure): void {
    this.#endHedge("lost");
    this.#perform(this.#hedgedRuns.cancel());
    for (const { attempt } of this.#runs.values()) attempt.abort(closure);
  }

  #start(target: AttemptTarget): number {
    const run = ++this.#runCount;
    const attempt = this.#host.createRun(target, {
      onPart: () => this.#recordPart(run),
      onSilence: () => this.#perform(this.#silenceActions(run)),
      onEnd: (result) => this.#recordEnd(run, result),
    });
    this.#runs.set(run, { target, attempt });
    this.#hedgedRuns.start(run);
    this.#guard(
      attempt.run().then((end) => this.#handleEnd(run, { target, end })),
    );
    return run;
  }

  #silenceActions(run: number): HedgeAction[] {
    return this.#host.mayHedge() ? this.#hedgedRuns.recordSilence(run) : [];
  }

  /** Returns true if the run may feed the caller. */
  #recordPart(run: number): boolean {
    const isHedge = !this.#hedgedRuns.isServing(run);
    const actions = this.#hedgedRuns.recordPart(run);
    if (!this.#hedgedRuns.isServing(run)) return false;
    if (actions.length > 0) this.#endHedge(isHedge ? "won" : "lost");
    this.#perform(actions);
    return true;
  }

  #recordEnd(run: number, result: ExchangeResult): void {
    if (this.#mayAnswer(result) && this.#recordPart(run)) {
      this.#answering = run;
      return;
    }
    if (this.#hedgedRuns.openCount === 2) {
      this.#endHedge(this.#hedgedRuns.isServing(run) ? "won" : "lost");
    }
    this.#perform(this.#hedgedRuns.recordEnd(run));
  }

  /**
   * An error does not answer the request while another run may succeed: it may
   * even be the consequence of that run.
   */
  #mayAnswer(result: ExchangeResult): boolean {
    if (!this.#host.isAnswer(result)) return false;
    const isError = result.kind === "plain" &&
      result.head.status >= FIRST_ERROR;
    return !isError || this.#hedgedRuns.openCount === 1;
  }

  #handleEnd(run: number, ended: DecidingRun): void {
    const { target, end } = ended;
    this.#runs.delete(run);
    this.#host.recordRunEnd(target, end);
    if (this.#answering === run && this.#host.isAnswer(end.result)) {
      this.#resolveDone(ended);
      return;
    }
    // An error response of a server is worth more than a broken connection.
    const last = this.#lastEnd?.end.result;
    if (last === undefined || !this.#host.isSendable(last)) {
      this.#lastEnd = ended;
    }
    // The response may have looked complete although its server had crashed.
    this.#perform(this.#hedgedRuns.recordEnd(run));
    this.#resolveIfOver();
  }

  #resolveIfOver(): void {
    if (!this.#finished || this.#runs.size > 0) return;
    if (this.#lastEnd !== undefined) this.#resolveDone(this.#lastEnd);
  }

  /** A fault of the gateway ends all runs, and the attempt. */
  #guard(step: Promise<void>): void {
    step.catch((error: unknown) => {
      const evidence = String(error);
      this.cancel({ cause: "fault", evidence, evidenceAge: 0 });
      this.#rejectDone(error);
    });
  }

  #perform(actions: readonly HedgeAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case "probe":
          this.#guard(this.#probe(action.run));
          break;
        case "request_grant":
          this.#guard(this.#place());
          break;
        case "withdraw_grant":
          this.#placement?.cancel();
          this.#placement = undefined;
          break;
        case "close":
          this.#close(action.run);
          break;
        case "finish":
          this.#finished = true;
          this.#resolveIfOver();
      }
    }
  }

  async #probe(run: number): Promise<void> {
    const server = this.#runs.get(run)?.target.server;
    if (server === undefined) return;
    const probe = await this.#host.probe(server);
    this.#lastProbe = probe;
    const { reachability } = probe;
    const waited = this.#host.waited();
    this.#perform(this.#hedgedRuns.recordProbe(run, reachability, waited));
  }

  async #place(): Promise<void> {
    const silent = this.#silentServer();
    const placement = new HedgePlacement(this.#host, {
      excluded: [...this.#runs.values()]
        .map(({ target }) => incarnationOf(target.server)),
      onGrant: () => this.#hedgedRuns.recordGrant(),
    });
    this.#placement = placement;
    const target = await placement.run();
    if (this.#placement !== placement) {
      if (target !== undefined) this.#host.release(target);
      return;
    }
    this.#placement = undefined;
    if (target !== undefined && this.#send(target, silent)) return;
    if (silent !== undefined) this.#host.recordHedge(silent, "not_granted");
    this.#perform(this.#hedgedRuns.recordNoGrant());
  }

  /** Sends another run; false if the retry budget is exhausted. */
  #send(target: AttemptTarget, silent: ServerRecord | undefined): boolean {
    const isHedge = this.#hedgedRuns.openCount > 0;
    const reason = isHedge ? "silent" : "broken";
    if (!this.#host.consumeRetry(silent ?? target.server, reason)) {
      this.#host.release(target);
      return false;
    }
    const run = this.#start(target);
    if (!isHedge || silent === undefined) return true;
    this.#hedged = silent;
    this.#host.recordHedge(silent, "started");
    if (this.#host.isOverlapBounded) this.#boundOverlap(run, silent);
    return true;
  }

  #boundOverlap(run: number, silent: ServerRecord): void {
    const probe = this.#host.probe(silent, CONFIRMING_PROBE_AGE);
    this.#overlapTimer = setTimeout(
      () => this.#guard(this.#endOverlap(run, silent, probe)),
      MAXIMUM_OVERLAP,
    );
  }

  async #endOverlap(
    run: number,
    silent: ServerRecord,
    probe: Promise<ProbeResult>,
  ): Promise<void> {
    this.#lastProbe = await probe;
    if (this.#hedged !== silent) return;
    const { reachability } = this.#lastProbe;
    if (reachability !== "reachable") {
      this.#boundOverlap(run, silent);
      return;
    }
    this.#endHedge("lost");
    this.#perform(this.#hedgedRuns.endOverlap(run, reachability));
  }

  #close(run: number): void {
    const { attempt } = this.#runs.get(run) ?? {};
    if (attempt === undefined) return;
    const { at, reachability } = this.#lastProbe ?? {};
    const evidence = `another run, ${describe(reachability)}`;
    const evidenceAge = this.#host.clock() - (at ?? this.#host.clock());
    const closure = { cause: "superseded" as const, evidence, evidenceAge };
    // A hedge that is not needed says nothing of its server.
    if (attempt.wasSilent) attempt.failSilent(closure);
    else attempt.abort(closure);
  }

  #endHedge(state: HedgeState): void {
    clearTimeout(this.#overlapTimer);
    if (this.#hedged !== undefined) this.#host.recordHedge(this.#hedged, state);
    this.#hedged = undefined;
  }

  #silentServer(): ServerRecord | undefined {
    for (const [run, { target }] of this.#runs) {
      if (this.#hedgedRuns.isServing(run)) return target.server;
    }
    return undefined;
  }
}

function describe(reachability: ServerReachability | undefined): string {
  return reachability === undefined
    ? "no probe"
    : `connection attempt ${reachability}`;
}
