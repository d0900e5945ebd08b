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
 * - Outstanding prompt tokens follow the measured prefill rate: an eighth of
 *   the goal for the first token may stand before a new prompt inside the engine,
 *   where no tier is known; less leaves the engine waiting for prompts. This also bounds what waits in an engine
 *   that runs fewer sequences at once than it takes.
 * - An engine that cannot keep the goal with hardly anything to do is held to a
 *   multiple of its own unloaded time instead: a smaller batch would waste the
 *   engine and still miss the goal.
 *
 * Long and short requests hold separate budgets. A request is long when an
 * engine full of its like would free a place less often than a short request may
 * wait. Long ones get three quarters of the sequences and tokens and half of the
 * prefill while short work of their tier or a higher one comes, so a place for
 * it comes free soon; short ones leave them that room while they wait. A long one
 * is always admitted when it is the only one, so neither waits for ever.
 * @module
 */
import type {
  Cost,
  WaitingReservation,
} from "../queueing/waiting_reservation.ts";
import { AdaptiveBound } from "./adaptive_bound.ts";
import { AttainableGoal, UNLOADED_SEQUENCES } from "./attainable_goal.ts";
import { BetweenTokens } from "./between_tokens.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { Outcome } from "./concurrency_limit.ts";
import { LoneRun } from "./lone_run.ts";
import { PassedOver } from "./passed_over.ts";
import type { RefusedRoom } from "./passed_over.ts";
import { PrefillRate } from "./prefill_rate.ts";
import { Prefills } from "./prefills.ts";
import { RoomShares } from "./room_shares.ts";
import type { RunningSequence } from "./running_sequence.ts";
import { WindowJudge } from "./window_judge.ts";
import { tokensOf, WorkBudget } from "./work_budget.ts";

/** Time between tokens that 95 in 100 must keep, in milliseconds. */
export const BETWEEN_TOKENS_GOAL = 38;
/** Time to first token that 95 in 100 must keep, in milliseconds. */
export const FIRST_TOKEN_GOAL = 1300;

const PREFILL_SHARE = 0.125;
const LONG_PREFILL_SHARE = 0.5;
/** Share of the goal for the first token that a short request may wait. */
const PLACE_WAIT_SHARE = 0.5;
/** An engine that is cut to a few places makes no request longer. */
const LEAST_PLACES = 16;
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
    probingStep: 1,
  });
  readonly #tokens = new AdaptiveBound({
    initial: INITIAL_TOKENS,
    least: LEAST_TOKENS,
    most: MOST_TOKENS,
  });
  readonly #judge = new WindowJudge();
  readonly #betweenTokens = new BetweenTokens();
  readonly #goal: AttainableGoal;
  readonly #prefills = new Prefills();
  readonly #prefillRate = new PrefillRate();
  readonly #long = new WorkBudget();
  readonly #short = new WorkBudget();
  readonly #running = new Map<string, RunningSequence>();
  readonly #loneRun = new LoneRun();
  readonly #passedOver = new PassedOver();
  readonly #shares = new RoomShares();
  #now = 0;

  constructor(options: TokenLimitOptions = {}) {
    super();
    this.#betweenTokensGoal = options.betweenTokensGoal ?? BETWEEN_TOKENS_GOAL;
    this.#goal = new AttainableGoal(this.#betweenTokensGoal);
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
  override admits(waiting: WaitingReservation): boolean {
    if (this.isIdle) {
      this.#loneRun.admitted(waiting);
      return true;
    }
    if (this.#loneRun.active) {
      return false;
    }
    const long = this.#isLong(waiting.cost);
    this.#shares.note(waiting.tierRank, long, this.#now);
    const refused = this.#refusedRoom(waiting, long);
    if (refused === "barred") {
      return false;
    }
    if (refused !== undefined) {
      const now = this.#now;
      this.#passedOver.refused({ waiting, long, room: refused, now });
      return false;
    }
    return true;
  }

  override started(id: string, cost: Cost, now: number): void {
    const long = this.#isLong(cost);
    this.#passedOver.started(id);
    this.#loneRun.started(id);
    this.#running.set(id, { cost, long, lastToken: undefined });
    this.#prefills.started(id, cost.promptTokens, now);
    this.#budget(long).start(cost);
    this.#sequences.used(this.running);
    this.#tokens.used(this.#heldTokens);
    this.#advance(now);
  }

  override firstToken(id: string, now: number): void {
    const sequence = this.#running.get(id);
    if (sequence === undefined || sequence.lastToken !== undefined) {
      return;
    }
    sequence.lastToken = now;
    this.#betweenTokens.first(now);
    this.#endPrefill(id, sequence, now);
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
      this.#endPrefill(id, sequence, now);
    }
    this.#running.delete(id);
    this.#loneRun.finished(id);
    this.#budget(sequence.long).end(sequence.cost);
    this.#advance(now);
  }

  /** `barred` where another is to have the room, or a place will come free. */
  #refusedRoom(
    waiting: WaitingReservation,
    long: boolean,
  ): RefusedRoom | "barred" | undefined {
    if (waiting.suspect) {
      return "alone";
    }
    if (this.#passedOver.bars(waiting, long, this.#now)) {
      return "barred";
    }
    const share = this.#shares.of(waiting.tierRank, long, this.#now);
    const held = this.#budget(long);
    const most = long ? Math.max(1, this.limit * share) : Infinity;
    if (this.running >= this.limit || held.sequences >= most) {
      this.#sequences.refused();
      return "barred";
    }
    return held.sequences === 0
      ? undefined
      : this.#refusedTokens(waiting, held, share);
  }

  #refusedTokens(
    waiting: WaitingReservation,
    held: WorkBudget,
    share: number,
  ): RefusedRoom | undefined {
    const tokens = tokensOf(waiting.cost);
    if (held.tokens + tokens > this.tokenLimit * share) {
      this.#tokens.refused();
      return "own kind";
    }
    if (this.#heldTokens + tokens > this.tokenLimit) {
      this.#tokens.refused();
      return "any kind";
    }
    const prefillShare = held === this.#long ? LONG_PREFILL_SHARE : 1;
    const prefillLimit = this.prefillLimit * prefillShare;
    return held.prefillTokens < prefillLimit ? undefined : "own kind";
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

  get #heldTokens(): number {
    return this.#long.tokens + this.#short.tokens;
  }

  #endPrefill(id: string, sequence: RunningSequence, now: number): void {
    const time = this.#prefills.ended(id, now);
    if (time !== undefined && sequence.lastToken !== undefined) {
      this.#prefillRate.observe(time);
    }
    this.#budget(sequence.long).endPrefill(sequence.cost);
  }

  #advance(now: number): void {
    this.#now = now;
    const prefills = this.#long.prefills + this.#short.prefills;
    const decoding = this.running - prefills;
    this.#noticeBlocked(decoding, now);
    const shown = this.#betweenTokens.endWindow(now, decoding);
    if (shown === undefined) {
      return;
    }
    if (!shown.stalled) {
      this.#goal.observe(shown.time, this.running, now);
    }
    this.#judge.judge(shown.time, this.#goal.value, [
      { bound: this.#sequences, step: 1, inUse: this.running },
      { bound: this.#tokens, step: TOKEN_STEP, inUse: this.#heldTokens },
    ]);
  }

  #noticeBlocked(decoding: number, now: number): void {
    const rate = this.#prefillRate.value;
    if (decoding === 0 || !this.#prefills.noticeBlocked(rate, now)) {
      return;
    }

    this.#sequences.blocked(decoding);
    this.#tokens.blocked(
      this.#long.decodingTokens + this.#short.decodingTokens,
    );
  }
}
