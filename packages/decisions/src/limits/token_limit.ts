/**
 * The adaptive concurrency limit of a model engine, in sequences, tokens and
 * outstanding prompt tokens (not yet prefilled), derived from the measured time
 * to first token and time between tokens.
 *
 * Load pattern: engines of different speed that accept whatever comes. Without
 * a limit, each batch grows until every stream misses the goal for the time
 * between tokens. With a fixed limit, the older generation is overloaded and
 * the newer one underused, and an engine that slows down keeps its full share.
 *
 * - Sequences and tokens follow the mean time between tokens relative to its
 *   goal.
 * - Outstanding prompt tokens follow the measured prefill rate. The prompts
 *   before a new one inside the engine, where tiers are unknown, may take up to
 *   an eighth of the goal for the first token; with less, the engine would wait
 *   for prompts. This also bounds what waits in an engine that runs fewer
 *   sequences at once than it accepts.
 * - An engine that misses the goal although it is almost idle is held to a
 *   multiple of its own unloaded time instead: a smaller batch would waste the
 *   engine and still miss the goal.
 *
 * Long and short requests have separate budgets. A request is long if an engine
 * full of such requests would free a slot less often than a short request may
 * wait. While short work of the same or a higher tier arrives, long requests
 * get three quarters of the sequences and tokens and half of the prefill, so
 * that a slot for short work becomes free soon. Short requests leave the share
 * of long ones free while those wait. A request that would be the only one of
 * its kind needs only a free slot, so neither kind starves.
 * @module
 */
import type {
  Cost,
  WaitingReservation,
} from "../queueing/waiting_reservation.ts";
import { AdaptiveBound } from "./adaptive_bound.ts";
import { AttainableGoal, MAX_UNLOADED_SEQUENCES } from "./attainable_goal.ts";
import { TokenIntervals } from "./token_intervals.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { Outcome } from "./concurrency_limit.ts";
import { ExclusiveRun } from "./exclusive_run.ts";
import { StarvationGuard } from "./starvation_guard.ts";
import type { RefusedCapacity } from "./starvation_guard.ts";
import { PrefillRate } from "./prefill_rate.ts";
import { Prefills } from "./prefills.ts";
import { CapacityShares } from "./capacity_shares.ts";
import type { RunningSequence } from "./running_sequence.ts";
import { BoundController } from "./bound_controller.ts";
import { CapacityUsage, tokensOf } from "./capacity_usage.ts";

/**
 * Goal for the time between tokens in milliseconds, which 95 in 100 requests
 * must meet.
 */
export const TIME_BETWEEN_TOKENS_GOAL = 38;
/**
 * Goal for the time to first token in milliseconds, which 95 in 100 requests
 * must meet.
 */
export const TIME_TO_FIRST_TOKEN_GOAL = 1300;

/**
 * Share of the goal for the first token that prompts before a new one may take.
 */
const PREFILL_SHARE = 0.125;
/** Share of the prefill limit that long requests may use. */
const LONG_PREFILL_SHARE = 0.5;
/**
 * Share of the goal for the first token that a short request may wait for a
 * slot.
 */
const SLOT_WAIT_SHARE = 0.5;
/**
 * Minimum number of slots assumed when requests are classified, so that
 * requests don't become long because an engine's limit was cut to a few slots.
 */
const MIN_CLASSIFICATION_SLOTS = 16;
/** Few enough to measure the engine's unloaded time in the first window. */
const INITIAL_SEQUENCES = MAX_UNLOADED_SEQUENCES;
const MAX_SEQUENCES = 4096;
const INITIAL_TOKENS = 32_768;
const MIN_TOKENS = 256;
const MAX_TOKENS = 1 << 26;
/** Minimum growth of the bound on tokens. */
const TOKEN_STEP = 512;

/** Options of a {@link TokenLimit}; the goals are in milliseconds. */
export type TokenLimitOptions = {
  betweenTokensGoal?: number;
  firstTokenGoal?: number;
};

export class TokenLimit extends ConcurrencyLimit {
  readonly #betweenTokensGoal: number;
  readonly #firstTokenGoal: number;
  readonly #sequences = new AdaptiveBound({
    initial: INITIAL_SEQUENCES,
    min: 1,
    max: MAX_SEQUENCES,
    probingStep: 1,
  });
  readonly #tokens = new AdaptiveBound({
    initial: INITIAL_TOKENS,
    min: MIN_TOKENS,
    max: MAX_TOKENS,
  });
  readonly #controller = new BoundController();
  readonly #tokenIntervals = new TokenIntervals();
  readonly #goal: AttainableGoal;
  readonly #prefills = new Prefills();
  readonly #prefillRate = new PrefillRate();
  readonly #longUsage = new CapacityUsage();
  readonly #shortUsage = new CapacityUsage();
  readonly #running = new Map<string, RunningSequence>();
  readonly #exclusiveRun = new ExclusiveRun();
  readonly #starvationGuard = new StarvationGuard();
  readonly #capacityShares = new CapacityShares();
  #now = 0;

  constructor(options: TokenLimitOptions = {}) {
    super();
    this.#betweenTokensGoal = options.betweenTokensGoal ??
      TIME_BETWEEN_TOKENS_GOAL;
    this.#goal = new AttainableGoal(this.#betweenTokensGoal);
    this.#firstTokenGoal = options.firstTokenGoal ?? TIME_TO_FIRST_TOKEN_GOAL;
  }

  override get running(): number {
    return this.#running.size;
  }

  override get limit(): number {
    return Math.max(1, Math.floor(this.#sequences.value));
  }

  /** Maximum tokens of all running requests together. */
  get tokenLimit(): number {
    return this.#tokens.value;
  }

  /**
   * A new prompt is started only while fewer prompt tokens than this wait for
   * their first token.
   */
  get prefillLimit(): number {
    return this.#prefillRate.value * this.#firstTokenGoal * PREFILL_SHARE;
  }

  /** Allocates no capacity, but records what was refused and why. */
  override admits(reservation: WaitingReservation): boolean {
    if (this.isIdle) {
      this.#exclusiveRun.recordAdmission(reservation);
      return true;
    }
    if (this.#exclusiveRun.active) {
      return false;
    }
    const long = this.#isLong(reservation.cost);
    this.#capacityShares.recordDemand(reservation.tierRank, long, this.#now);
    const refused = this.#refusedCapacity(reservation, long);
    if (refused === "blocked") {
      return false;
    }
    if (refused !== undefined) {
      const now = this.#now;
      this.#starvationGuard.recordRefusal({
        reservation,
        long,
        capacity: refused,
        now,
      });
      return false;
    }
    return true;
  }

  override recordStart(id: string, cost: Cost, now: number): void {
    const long = this.#isLong(cost);
    this.#starvationGuard.recordStart(id);
    this.#exclusiveRun.recordStart(id);
    this.#running.set(id, { cost, long, lastTokenAt: undefined });
    this.#prefills.recordStart(id, cost.promptTokens, now);
    this.#usageOf(long).recordStart(cost);
    this.#sequences.recordUse(this.running);
    this.#tokens.recordUse(this.#tokensInUse);
    this.#update(now);
  }

  override recordFirstToken(id: string, now: number): void {
    const sequence = this.#running.get(id);
    if (sequence === undefined || sequence.lastTokenAt !== undefined) {
      return;
    }
    sequence.lastTokenAt = now;
    this.#tokenIntervals.recordFirst(now);
    this.#endPrefill(id, sequence, now);
    this.#update(now);
  }

  override recordTokens(id: string, outputTokens: number, now: number): void {
    const sequence = this.#running.get(id);
    if (sequence === undefined || outputTokens <= 0) {
      return;
    }
    if (sequence.lastTokenAt === undefined) {
      this.recordFirstToken(id, now);
      return;
    }
    const elapsed = now - sequence.lastTokenAt;
    sequence.lastTokenAt = now;
    this.#tokenIntervals.record(elapsed, outputTokens, now);
    this.#update(now);
  }

  override recordEnd(id: string, _outcome: Outcome, now: number): void {
    const sequence = this.#running.get(id);
    if (sequence === undefined) {
      return;
    }
    if (sequence.lastTokenAt === undefined) {
      this.#endPrefill(id, sequence, now);
    }
    this.#running.delete(id);
    this.#exclusiveRun.recordEnd(id);
    this.#usageOf(sequence.long).recordEnd(sequence.cost);
    this.#update(now);
  }

  /**
   * Returns the capacity that the reservation was refused, if any. `blocked`
   * means that none has to be held for it: the capacity is held for another
   * reservation already, or a slot will become free without that.
   */
  #refusedCapacity(
    reservation: WaitingReservation,
    long: boolean,
  ): RefusedCapacity | "blocked" | undefined {
    if (reservation.suspect) {
      return "exclusive";
    }
    if (this.#starvationGuard.blocks(reservation, long, this.#now)) {
      return "blocked";
    }
    const share = this.#capacityShares.shareOf(
      reservation.tierRank,
      long,
      this.#now,
    );
    const usage = this.#usageOf(long);
    const maxSequences = long ? Math.max(1, this.limit * share) : Infinity;
    if (this.running >= this.limit || usage.sequences >= maxSequences) {
      this.#sequences.recordRefusal();
      return "blocked";
    }
    return usage.sequences === 0
      ? undefined
      : this.#refusedTokens(reservation, usage, share);
  }

  #refusedTokens(
    reservation: WaitingReservation,
    usage: CapacityUsage,
    share: number,
  ): RefusedCapacity | undefined {
    const tokens = tokensOf(reservation.cost);
    if (usage.tokens + tokens > this.tokenLimit * share) {
      this.#tokens.recordRefusal();
      return "same length";
    }
    if (this.#tokensInUse + tokens > this.tokenLimit) {
      this.#tokens.recordRefusal();
      return "any length";
    }
    const prefillShare = usage === this.#longUsage ? LONG_PREFILL_SHARE : 1;
    const prefillLimit = this.prefillLimit * prefillShare;
    return usage.prefillTokens < prefillLimit ? undefined : "same length";
  }

  #isLong(cost: Cost): boolean {
    const prefill = cost.promptTokens / this.#prefillRate.value;
    const decode = cost.outputTokens * this.#betweenTokensGoal;
    const wait = this.#firstTokenGoal * SLOT_WAIT_SHARE;
    return prefill + decode >
      Math.max(MIN_CLASSIFICATION_SLOTS, this.limit) * wait;
  }

  #usageOf(long: boolean): CapacityUsage {
    return long ? this.#longUsage : this.#shortUsage;
  }

  get #tokensInUse(): number {
    return this.#longUsage.tokens + this.#shortUsage.tokens;
  }

  #endPrefill(id: string, sequence: RunningSequence, now: number): void {
    const measurement = this.#prefills.recordEnd(id, now);
    if (measurement !== undefined && sequence.lastTokenAt !== undefined) {
      this.#prefillRate.observe(measurement);
    }
    this.#usageOf(sequence.long).recordPrefillEnd(sequence.cost);
  }

  #update(now: number): void {
    this.#now = now;
    const prefills = this.#longUsage.prefills + this.#shortUsage.prefills;
    const decoding = this.running - prefills;
    this.#handleBlockedPrefill(decoding, now);
    const measured = this.#tokenIntervals.endWindow(now, decoding);
    if (measured === undefined) {
      return;
    }
    if (!measured.stalled) {
      this.#goal.observe(measured.time, this.running, now);
    }
    this.#controller.endWindow(measured.time, this.#goal.value, [
      { bound: this.#sequences, step: 1, inUse: this.running },
      { bound: this.#tokens, step: TOKEN_STEP, inUse: this.#tokensInUse },
    ]);
  }

  #handleBlockedPrefill(decoding: number, now: number): void {
    const rate = this.#prefillRate.value;
    if (decoding === 0 || !this.#prefills.detectBlocked(rate, now)) {
      return;
    }

    this.#sequences.capAt(decoding);
    this.#tokens.capAt(
      this.#longUsage.decodingTokens + this.#shortUsage.decodingTokens,
    );
  }
}
