/**
 * The limit of a model engine, in sequences, tokens and prompt tokens not yet
 * prefilled, found from measured time to first token and time between tokens.
 *
 * Load pattern: engines of unlike speed that admit whatever comes. Without a
 * limit each batch grows until every stream misses its time between tokens; with
 * one set by hand the older generation is overrun and the newer one idles, and
 * an engine that slows down keeps its full share.
 *
 * - Sequences and tokens follow the mean time between tokens against the goal.
 * - Outstanding prompt tokens follow the measured prefill rate: a quarter of the
 *   goal for the first token is what may stand before a new prompt inside the
 *   engine, where no tier is known. This also bounds what waits in an engine
 *   that runs fewer sequences at once than it takes.
 * - An engine that cannot keep the goal with hardly anything to do is held to a
 *   multiple of its own unloaded time instead: a smaller batch would waste the
 *   engine and still miss the goal.
 *
 * Long and short requests hold separate budgets. A request is long when an
 * engine full of its like would free a place less often than a short request may
 * wait. Long ones get three quarters of the sequences and tokens and half of the
 * prefill, so a place for a short one comes free soon; short ones get no part of
 * the long ones' tokens, and a long one is always admitted when it is the only
 * one, so neither waits for ever.
 * @module
 */
import type { Cost, Waiting } from "../queueing/waiting.ts";
import { AdaptiveBound } from "./adaptive_bound.ts";
import { BetweenTokens } from "./between_tokens.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { Outcome } from "./concurrency_limit.ts";
import { LoneRun } from "./lone_run.ts";
import { PassedOver } from "./passed_over.ts";
import { PrefillRate } from "./prefill_rate.ts";
import { RecentMinimum } from "./recent_minimum.ts";
import type { RunningSequence } from "./running_sequence.ts";
import { WindowJudge } from "./window_judge.ts";
import { tokensOf, WorkBudget } from "./work_budget.ts";

/** Time between tokens that 95 in 100 must keep, in milliseconds. */
export const BETWEEN_TOKENS_GOAL = 38;
/** Time to first token that 95 in 100 must keep, in milliseconds. */
export const FIRST_TOKEN_GOAL = 1300;

const UNLOADED_SEQUENCES = 4;
const UNLOADED_TOLERANCE = 2;

const LONG_SHARE = 0.75;
const SHORT_TOKEN_SHARE = 0.5;
const PREFILL_SHARE = 0.25;
const LONG_PREFILL_SHARE = 0.5;
/** Share of the goal for the first token that a short request may wait. */
const PLACE_WAIT_SHARE = 0.5;
/** An engine that is cut to a few places makes no request longer. */
const LEAST_PLACES = 16;
/** Milliseconds after a short request in which places are kept for the next. */
const SHORT_MEMORY = 30_000;

/** Few enough to show the engine's unloaded time in the first window. */
const INITIAL_SEQUENCES = UNLOADED_SEQUENCES;
const MOST_SEQUENCES = 4096;
const INITIAL_TOKENS = 32_768;
const LEAST_TOKENS = 256;
const MOST_TOKENS = 1 << 26;
const TOKEN_STEP = 512;

/** Settings of a {@link TokenLimit}; the goals are milliseconds. */
export type TokenLimitOptions = {
  betweenTokensGoal?: number;
  firstTokenGoal?: number;
};

/** See the module. */
export class TokenLimit extends ConcurrencyLimit {
  readonly #betweenTokensGoal: number;
  readonly #firstTokenGoal: number;
  readonly #sequences = new AdaptiveBound({
    initial: INITIAL_SEQUENCES,
    least: 1,
    most: MOST_SEQUENCES,
  });
  readonly #tokens = new AdaptiveBound({
    initial: INITIAL_TOKENS,
    least: LEAST_TOKENS,
    most: MOST_TOKENS,
  });
  readonly #judge = new WindowJudge();
  readonly #betweenTokens = new BetweenTokens();
  readonly #unloaded = new RecentMinimum();
  readonly #prefillRate = new PrefillRate();
  readonly #long = new WorkBudget();
  readonly #short = new WorkBudget();
  readonly #running = new Map<string, RunningSequence>();
  readonly #loneRun = new LoneRun();
  readonly #passedOver = new PassedOver();
  #lastShort = -Infinity;
  #now = 0;

  constructor(options: TokenLimitOptions = {}) {
    super();
    this.#betweenTokensGoal = options.betweenTokensGoal ?? BETWEEN_TOKENS_GOAL;
    this.#firstTokenGoal = options.firstTokenGoal ?? FIRST_TOKEN_GOAL;
  }

  override get running(): number {
    return this.#running.size;
  }

  override get limit(): number {
    return Math.max(1, Math.floor(this.#sequences.value));
  }

  /** Tokens that requests may hold together. */
  get tokenLimit(): number {
    return this.#tokens.value;
  }

  /** Prompt tokens without a first token that may stand before a new prompt. */
  get prefillLimit(): number {
    return this.#prefillRate.value * this.#firstTokenGoal * PREFILL_SHARE;
  }

  /** Takes no room, but notes what was refused and why. */
  override admits(waiting: Waiting): boolean {
    if (this.empty) {
      this.#loneRun.admitted(waiting);
      return true;
    }
    if (this.#loneRun.active) {
      return false;
    }
    const long = this.#isLong(waiting.cost);
    if (waiting.suspect) {
      this.#passedOver.refused(waiting, undefined, this.#now);
      return false;
    }
    if (this.#passedOver.bars(waiting, long, this.#now)) {
      return false;
    }
    if (!this.#hasSequence(long)) {
      this.#sequences.refused();
      return false;
    }
    if (this.#fits(long, waiting.cost)) {
      return true;
    }
    this.#passedOver.refused(waiting, long, this.#now);
    return false;
  }

  override started(id: string, cost: Cost, now: number): void {
    const long = this.#isLong(cost);
    this.#passedOver.started(id);
    this.#loneRun.started(id);
    this.#running.set(id, { cost, long, lastToken: undefined });
    this.#prefillRate.started(now);
    this.#budget(long).start(cost);
    this.#sequences.used(this.#sequencesInUse());
    this.#tokens.used(this.#tokensInUse());
    if (!long) {
      this.#lastShort = now;
    }
    this.#advance(now);
  }

  override firstToken(id: string, now: number): void {
    const sequence = this.#running.get(id);
    if (sequence === undefined || sequence.lastToken !== undefined) {
      return;
    }
    sequence.lastToken = now;
    this.#betweenTokens.first(now);
    this.#endPrefill(sequence, sequence.cost.promptTokens, now);
    this.#advance(now);
  }

  override progressed(id: string, outputTokens: number, now: number): void {
    const sequence = this.#running.get(id);
    if (sequence === undefined || outputTokens <= 0) {
      return;
    }
    if (sequence.lastToken === undefined) {
      this.firstToken(id, now);
      return;
    }
    const elapsed = now - sequence.lastToken;
    sequence.lastToken = now;
    this.#betweenTokens.add(elapsed, outputTokens, now);
    this.#advance(now);
  }

  override finished(id: string, _outcome: Outcome, now: number): void {
    const sequence = this.#running.get(id);
    if (sequence === undefined) {
      return;
    }
    if (sequence.lastToken === undefined) {
      this.#endPrefill(sequence, 0, now);
    }
    this.#running.delete(id);
    this.#loneRun.finished(id);
    this.#budget(sequence.long).end(sequence.cost);
    this.#advance(now);
  }

  #hasSequence(long: boolean): boolean {
    if (this.running >= this.limit) {
      return false;
    }
    const most = Math.max(1, this.limit * this.#longShare);
    return !long || this.#long.sequences < most;
  }

  #fits(long: boolean, cost: Cost): boolean {
    const held = this.#budget(long);
    if (held.sequences === 0) {
      return true;
    }
    const share = long ? this.#longShare : SHORT_TOKEN_SHARE;
    if (held.tokens + tokensOf(cost) > this.tokenLimit * share) {
      this.#tokens.refused();
      return false;
    }
    const prefillShare = long ? LONG_PREFILL_SHARE : 1;
    return held.prefillTokens < this.prefillLimit * prefillShare;
  }

  #isLong(cost: Cost): boolean {
    const prefill = cost.promptTokens / this.#prefillRate.value;
    const decode = cost.outputTokens * this.#betweenTokensGoal;
    const wait = this.#firstTokenGoal * PLACE_WAIT_SHARE;
    return prefill + decode > Math.max(LEAST_PLACES, this.limit) * wait;
  }

  #budget(long: boolean): WorkBudget {
    return long ? this.#long : this.#short;
  }

  /** A place kept for work that does not come would be wasted. */
  get #longShare(): number {
    const seen = this.#now - this.#lastShort < SHORT_MEMORY;
    return seen ? LONG_SHARE : 1;
  }

  /** As a share of the bound that is nearest to refusing. */
  #sequencesInUse(): number {
    return Math.max(this.running, this.#long.sequences / this.#longShare);
  }

  #tokensInUse(): number {
    return Math.max(
      this.#long.tokens / this.#longShare,
      this.#short.tokens / SHORT_TOKEN_SHARE,
    );
  }

  #endPrefill(sequence: RunningSequence, tokens: number, now: number): void {
    this.#prefillRate.ended(tokens, now);
    this.#budget(sequence.long).endPrefill(sequence.cost);
  }

  #advance(now: number): void {
    this.#now = now;
    const decoding = this.running - this.#long.prefills - this.#short.prefills;
    const shown = this.#betweenTokens.endWindow(now, decoding);
    if (shown === undefined) {
      return;
    }
    if (!shown.stalled) {
      this.#observeUnloaded(shown.time, now);
    }
    const sequences = this.#sequencesInUse();
    const tokens = this.#tokensInUse();
    this.#judge.judge(shown.time, this.#attainableGoal(), [
      { bound: this.#sequences, step: 1, inUse: sequences },
      { bound: this.#tokens, step: TOKEN_STEP, inUse: tokens },
    ]);
  }

  /** A loaded engine's time says only that the unloaded one is no longer. */
  #observeUnloaded(time: number, now: number): void {
    const known = this.#unloaded.value ?? 0;
    if (this.running <= UNLOADED_SEQUENCES || time < known) {
      this.#unloaded.observe(time, now);
    }
  }

  #attainableGoal(): number {
    const unloaded = this.#unloaded.value ?? 0;
    return Math.max(this.#betweenTokensGoal, unloaded * UNLOADED_TOLERANCE);
  }
}
