/**
 * The limit of a model engine, in sequences, tokens and prompt tokens not yet
 * prefilled, found from measured time to first token and time between tokens.
 *
 * Load pattern: engines of unlike speed that admit whatever comes. Without a
 * limit each batch grows until every stream misses its time between tokens; with
 * one set by hand the older generation is overrun and the newer one idles, and
 * an engine that slows down keeps its full share.
 *
 * - Sequences and tokens follow the time between tokens: the 95th percentile of
 *   a half-second window against the goal of 38 ms. Two bad windows cut, or one
 *   that is twice the goal, so a single stall costs nothing.
 * - Outstanding prompt tokens follow the measured prefill rate: half of the 1.3 s
 *   for a first token is what may stand before a new prompt.
 * - An engine that misses 38 ms with hardly anything to do is held to one and a
 *   half times its own unloaded time instead: a smaller batch would only waste
 *   the engine, not meet the goal.
 *
 * Long and short requests hold separate budgets. A request is long when it holds
 * its place so long that an engine full of its like would free one less often
 * than a short request may wait. Long ones get at most three quarters of the
 * sequences and tokens and half of the prefill, so a place for a short one comes
 * free soon; short ones get no part of the long ones' tokens, and a long one is
 * always admitted when it is the only one, so neither waits for ever.
 * @module
 */
import type { Cost, Waiting } from "../queueing/waiting.ts";
import { AdaptiveBound } from "./adaptive_bound.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { Outcome } from "./concurrency_limit.ts";
import { PrefillRate } from "./prefill_rate.ts";
import { RecentMinimum } from "./recent_minimum.ts";
import type { RunningSequence } from "./running_sequence.ts";
import { TimesWindow } from "./times_window.ts";
import { tokensOf, WorkBudget } from "./work_budget.ts";

/** Time between tokens that 95 in 100 must keep, in milliseconds. */
export const BETWEEN_TOKENS_GOAL = 38;
/** Time to first token that 95 in 100 must keep, in milliseconds. */
export const FIRST_TOKEN_GOAL = 1300;

const GOAL_QUANTILE = 0.95;
const WINDOW = 500;
/** Fewer tokens than this say nothing about the 95th percentile. */
const LEAST_WINDOW_TOKENS = 40;
/** Growth stops this far below the goal, so the bound does not swing about it. */
const ROOM_TO_GROW = 0.9;
const ONE_WINDOW_EXCESS = 2;
const UNLOADED_SEQUENCES = 2;
const UNLOADED_TOLERANCE = 1.5;
/** A stream silent for this many goals counts as slow before its next token. */
const SILENT_GOALS = 10;

const LONG_SHARE = 0.75;
const SHORT_TOKEN_SHARE = 0.5;
const PREFILL_SHARE = 0.5;
const LONG_PREFILL_SHARE = 0.5;

const INITIAL_SEQUENCES = 8;
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
  readonly #prefillRate = new PrefillRate();
  readonly #long = new WorkBudget();
  readonly #short = new WorkBudget();
  readonly #prefilling = new Map<string, RunningSequence>();
  /** In order of the last token, the most silent first. */
  readonly #decoding = new Map<string, RunningSequence>();
  readonly #betweenTokens = new TimesWindow();
  readonly #unloaded = new RecentMinimum();
  #windowStarted: number | undefined;
  #badWindows = 0;

  constructor(options: TokenLimitOptions = {}) {
    super();
    this.#betweenTokensGoal = options.betweenTokensGoal ?? BETWEEN_TOKENS_GOAL;
    this.#firstTokenGoal = options.firstTokenGoal ?? FIRST_TOKEN_GOAL;
  }

  override get running(): number {
    return this.#prefilling.size + this.#decoding.size;
  }

  override get limit(): number {
    return Math.max(1, Math.floor(this.#sequences.value));
  }

  /** Tokens that requests may hold together. */
  get tokenLimit(): number {
    return this.#tokens.value;
  }

  /** Prompt tokens that may wait for their first token together. */
  get prefillLimit(): number {
    return this.#prefillRate.value * this.#firstTokenGoal * PREFILL_SHARE;
  }

  override admits(waiting: Waiting): boolean {
    if (this.empty) {
      return true;
    }
    if (waiting.suspect || this.running >= this.limit) {
      return false;
    }
    return this.#isLong(waiting.cost)
      ? this.#admitsLong(waiting.cost)
      : this.#admitsShort(waiting.cost);
  }

  override started(id: string, cost: Cost, now: number): void {
    this.#advance(now);
    const long = this.#isLong(cost);
    const sequence = { cost, long, started: now, lastToken: undefined };
    this.#prefilling.set(id, sequence);
    this.#prefillRate.started(now);
    this.#budgetOf(sequence).start(cost);
    this.#sequences.used(this.running);
    this.#tokens.used(this.#tokensInUse());
  }

  override firstToken(id: string, now: number): void {
    const sequence = this.#prefilling.get(id);
    if (sequence === undefined) {
      return;
    }
    this.#endPrefill(id, sequence, sequence.cost.promptTokens, now);
    sequence.lastToken = now;
    this.#decoding.set(id, sequence);
    this.#advance(now);
  }

  override progressed(id: string, outputTokens: number, now: number): void {
    if (outputTokens <= 0) {
      return;
    }
    this.firstToken(id, now);
    const sequence = this.#decoding.get(id);
    if (sequence?.lastToken === undefined) {
      return;
    }
    const elapsed = now - sequence.lastToken;
    if (elapsed > 0) {
      this.#betweenTokens.add(elapsed / outputTokens, outputTokens);
      sequence.lastToken = now;
      this.#decoding.delete(id);
      this.#decoding.set(id, sequence);
    }
    this.#advance(now);
  }

  override finished(id: string, _outcome: Outcome, now: number): void {
    const prefilling = this.#prefilling.get(id);
    if (prefilling !== undefined) {
      this.#endPrefill(id, prefilling, 0, now);
      this.#budgetOf(prefilling).end(prefilling.cost);
    }
    const decoding = this.#decoding.get(id);
    if (decoding !== undefined) {
      this.#decoding.delete(id);
      this.#budgetOf(decoding).end(decoding.cost);
    }
    this.#advance(now);
  }

  #admitsLong(cost: Cost): boolean {
    const held = this.#long;
    if (held.sequences === 0) {
      return true;
    }
    const prefillLimit = this.prefillLimit * LONG_PREFILL_SHARE;
    return held.sequences < Math.max(1, this.limit * LONG_SHARE) &&
      held.tokens + tokensOf(cost) <= this.tokenLimit * LONG_SHARE &&
      (held.prefills === 0 ||
        held.prefillTokens + cost.promptTokens <= prefillLimit);
  }

  #admitsShort(cost: Cost): boolean {
    const held = this.#short;
    if (held.sequences === 0) {
      return true;
    }
    return held.tokens + tokensOf(cost) <=
        this.tokenLimit * SHORT_TOKEN_SHARE &&
      (held.prefills === 0 ||
        held.prefillTokens + cost.promptTokens <= this.prefillLimit);
  }

  #isLong(cost: Cost): boolean {
    const prefill = cost.promptTokens / this.#prefillRate.value;
    const decode = cost.outputTokens * this.#betweenTokensGoal;
    return prefill + decode > this.limit * this.#firstTokenGoal * PREFILL_SHARE;
  }

  #budgetOf(sequence: RunningSequence): WorkBudget {
    return sequence.long ? this.#long : this.#short;
  }

  #tokensInUse(): number {
    return Math.max(
      this.#long.tokens / LONG_SHARE,
      this.#short.tokens / SHORT_TOKEN_SHARE,
    );
  }

  #endPrefill(
    id: string,
    sequence: RunningSequence,
    promptTokens: number,
    now: number,
  ): void {
    this.#prefilling.delete(id);
    this.#prefillRate.ended(promptTokens, now);
    this.#budgetOf(sequence).endPrefill(sequence.cost);
  }

  #advance(now: number): void {
    this.#windowStarted ??= now;
    if (now - this.#windowStarted < WINDOW) {
      return;
    }
    this.#countSilence(now);
    if (this.#betweenTokens.weight < LEAST_WINDOW_TOKENS) {
      return;
    }
    this.#windowStarted = now;
    this.#judgeWindow(now);
    this.#betweenTokens.reset();
  }

  /** A stalled engine sends no tokens to measure: its silence is the measure. */
  #countSilence(now: number): void {
    for (const sequence of this.#decoding.values()) {
      const silence = now - (sequence.lastToken ?? now);
      if (silence > SILENT_GOALS * this.#betweenTokensGoal) {
        this.#betweenTokens.add(silence, LEAST_WINDOW_TOKENS);
      }
      return;
    }
  }

  #judgeWindow(now: number): void {
    const time = this.#betweenTokens.quantile(GOAL_QUANTILE);
    if (this.running <= UNLOADED_SEQUENCES) {
      this.#unloaded.observe(this.#betweenTokens.quantile(0.5), now);
    }
    const goal = this.#attainableGoal();
    if (time > goal) {
      this.#judgeBad(time / goal);
    } else if (time < goal * ROOM_TO_GROW) {
      this.#badWindows = 0;
      this.#sequences.raise(1);
      this.#tokens.raise(TOKEN_STEP);
    } else {
      this.#badWindows = 0;
      this.#sequences.hold();
      this.#tokens.hold();
    }
  }

  #judgeBad(excess: number): void {
    this.#badWindows += 1;
    if (this.#badWindows < 2 && excess < ONE_WINDOW_EXCESS) {
      return;
    }
    this.#sequences.cut(excess, this.running);
    this.#tokens.cut(excess, this.#tokensInUse());
  }

  #attainableGoal(): number {
    const unloaded = this.#unloaded.value ?? 0;
    return Math.max(this.#betweenTokensGoal, unloaded * UNLOADED_TOLERANCE);
  }
}
