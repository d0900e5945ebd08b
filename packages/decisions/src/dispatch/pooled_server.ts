/**
 * One backend server as its granting entry knows it: what it runs for the
 * group, how fast it is, and whether it can take another request.
 * @module
 */
import { addressOf } from "../discovery/mod.ts";
import type { ServerRecord } from "../discovery/mod.ts";
import type { GroupFractions } from "../fleet/mod.ts";
import type { Cost } from "../queueing/mod.ts";
import { MINIMUM_PACE } from "../server_load/mod.ts";
import {
  allowedRate,
  allowedStartRate,
  StatedRateLimiter,
} from "../server_limits/mod.ts";
import type {
  ServerLimit,
  StartLimit,
  StartRateLimiter,
} from "../server_limits/mod.ts";
import type { GrantRequest } from "./grant_request.ts";
import { nominalDecodeTime, nominalFirstTokenTime } from "./latency_ratio.ts";
import { pauseFactor } from "./pause_goals.ts";
import { PrefillLimit } from "./prefill_limit.ts";
import { ServerRuns } from "./server_runs.ts";
import type { Run } from "./server_runs.ts";
import { ServerSpeed } from "./server_speed.ts";

/**
 * Milliseconds of prefill that may be pending at a server at a time. Prefill is
 * interleaved with the decoding of other requests; with more of it, the pauses
 * in their responses exceed the 250 ms that callers accept. Where the decisions
 * for uneven load apply, it is in proportion to the pause that callers accept.
 */
const MAXIMUM_PENDING_PREFILL = 400;
/**
 * Fraction of the time to the deadline that a response may be expected to take
 * after its first token at a server slower than the service's average.
 */
const MAXIMUM_RUN_FRACTION = 0.6;
/** Milliseconds after a response for which a server counts as up. */
const UP_INTERVAL = 1000;
/** Milliseconds without new requests after a failed connection attempt. */
const FIRST_BACKOFF = 250;
/** The backoff doubles with each failure, up to this many milliseconds. */
const MAXIMUM_BACKOFF = 2000;

/**
 * Factor of the service's latency that is assumed for a server without
 * observations. It is a little below 1, so that every server is tried, and so
 * that one slow start does not keep a server from being selected.
 */
const UNKNOWN_SERVER_RATIO = 0.8;

/**
 * Latency ratios of a whole service, the default for servers without
 * observations.
 */
export type ServiceLatencyRatios = {
  firstToken: number;
  decode: number;
  /** Whether the paces that servers report are used. */
  usesPace: boolean;
};

/** A response start as it is to be learned for the whole service. */
export type ObservedStart = {
  cost: Cost;
  /** Pace by which its latency is to be divided. */
  pace: number;
};

/** Timing of a response after its first token. */
export type StreamTiming = {
  /** Tokens after the first one. */
  tokens: number;
  /** Milliseconds that these tokens took. */
  measured: number;
  /** Longest pause between two events, as a fraction of the accepted pause. */
  pausePart: number;
};

/** What the group may use of a server; see {@link GroupFractions}. */
export type UsageBounds = {
  fractions: GroupFractions;
  /** The rate limit for all entries together, if the server states one. */
  limit: ServerLimit | undefined;
  /** Limits the requests in a second, if the server is to be limited. */
  startLimit: StartLimit;
  /** Whether the decisions for uneven load apply. */
  isAdaptive: boolean;
};

/** State of one backend server, with its runs by request id. */
export class PooledServer {
  record: ServerRecord;
  readonly speed = new ServerSpeed();
  readonly #prefillLimit = new PrefillLimit();
  readonly runs: ServerRuns;
  #rateLimiter: StatedRateLimiter | undefined;
  #startLimiter: StartRateLimiter | undefined;
  #downUntil = -Infinity;
  #backoff = 0;
  /** Time of its start or last response, as reported to this entry. */
  #upAt: number;
  /** Entries that failed to connect, and until when they are not sent here. */
  readonly #unreachableFrom = new Map<string, number>();
  /** Entries of which the server requests a backoff, and until when. */
  readonly #requestedBackoffs = new Map<string, number>();

  /** `runs`: what it runs already, if it was in the pool before. */
  constructor(record: ServerRecord, now: number, runs = new ServerRuns()) {
    this.record = record;
    this.#upAt = now;
    this.runs = runs;
  }

  get running(): number {
    return this.runs.size;
  }

  /** Records a response of the server, or its start. */
  recordUp(now: number): void {
    this.#upAt = now;
  }

  /** Whether it started or responded within the last second. */
  hasBeenUpLately(now: number): boolean {
    return now - this.#upAt < UP_INTERVAL;
  }

  /** Address as `host:port`, which the server keeps when it starts again. */
  get address(): string {
    return addressOf(this.record);
  }

  /**
   * Maximum of pending prefill, in prompt tokens, for requests that accept
   * pauses of 250 ms.
   */
  prefillLimit(isAdaptive: boolean, now: number): number {
    return isAdaptive
      ? this.#prefillLimit.tokensAt(now)
      : this.#prefillLimit.tokens;
  }

  /** True if the server can run another request. */
  hasFreeSlot(bounds: UsageBounds, now: number): boolean {
    if (!this.#rateAllows(bounds, now)) return false;
    return this.runs.size < this.#maximumRuns(bounds, now);
  }

  /**
   * Slots that the group can use. They are fewer than its fraction of the
   * server's slots if the rate limit lets fewer requests start within
   * `runTime`, the mean run time of a request in milliseconds.
   */
  usableSlots(bounds: UsageBounds, runTime: number, now: number): number {
    const { fractions, limit, startLimit } = bounds;
    const accepted = startLimit.of(this.record, now);
    const { quota } = fractions;
    const perSecond = Math.min(
      limit === undefined ? Infinity : allowedRate(limit.perSecond, quota),
      accepted === undefined ? Infinity : allowedStartRate(accepted, quota),
    );
    const slots = this.#slotsFor(bounds, now);
    return Math.min(slots, perSecond * runTime / 1000);
  }

  /**
   * True if the request may be sent to this server. `largestPrefillLimit` is
   * the largest of all servers of the service.
   */
  admits(
    request: GrantRequest,
    snapshot: {
      latencyRatios: ServiceLatencyRatios;
      largestPrefillLimit: number;
      isAdaptive: boolean;
    },
    now: number,
  ): boolean {
    const { latencyRatios, largestPrefillLimit, isAdaptive } = snapshot;
    if (!this.isAvailableTo(request.entry, now)) return false;
    const { cost } = request;
    if (cost.promptTokens === 0) return true;
    const limits = {
      largestPrefillLimit,
      limit: this.prefillLimit(isAdaptive, now),
      factor: isAdaptive
        ? pauseFactor(this.runs.pauseGoals.shortest(request.pauseGoal))
        : 1,
    };
    if (!this.#admitsPrefill(cost.promptTokens, limits)) return false;
    if (this.#isTooSlow(request, latencyRatios, now)) return false;
    if (this.runs.pendingPrefillTokens === 0) return true;
    const prefillTime =
      nominalFirstTokenTime(cost, this.runs.pendingPrefillTokens) -
      nominalFirstTokenTime({ promptTokens: 1, outputTokens: 0 });
    const { firstToken, usesPace } = latencyRatios;
    return this.speed.firstTokenRatio(now, firstToken, usesPace) *
        prefillTime < MAXIMUM_PENDING_PREFILL * limits.factor;
  }

  /** True if the server would admit the request if it ran nothing else. */
  suits(
    request: GrantRequest,
    { latencyRatios, largestPrefillLimit, isAdaptive }: {
      latencyRatios: ServiceLatencyRatios;
      largestPrefillLimit: number;
      isAdaptive: boolean;
    },
    now: number,
  ): boolean {
    const { promptTokens } = request.cost;
    return this.isAvailableTo(request.entry, now) &&
      this.prefillLimit(isAdaptive, now) >=
        Math.min(promptTokens, largestPrefillLimit) &&
      !this.#isTooSlow(request, latencyRatios, now);
  }

  #isTooSlow(
    { cost, deadline }: GrantRequest,
    { decode, usesPace }: ServiceLatencyRatios,
    now: number,
  ): boolean {
    const decodeRatio = this.speed.decodeRatio(now, decode, usesPace);
    return decodeRatio > decode &&
      decodeRatio * nominalDecodeTime(cost) >
        MAXIMUM_RUN_FRACTION * (deadline - now);
  }

  /**
   * False if the prompt exceeds the server's prefill limit and other servers
   * have larger ones, so that it waits for these.
   */
  fitsPrompt(
    { promptTokens }: Cost,
    { largestPrefillLimit, isAdaptive }: {
      largestPrefillLimit: number;
      isAdaptive: boolean;
    },
    now: number,
  ): boolean {
    const limit = this.prefillLimit(isAdaptive, now);
    return promptTokens <= limit || limit >= largestPrefillLimit;
  }

  /** Expected milliseconds to the first token. */
  expectedFirstTokenTime(
    cost: Cost,
    latencyRatios: ServiceLatencyRatios,
    now: number,
  ): number {
    const { firstToken, usesPace } = latencyRatios;
    const ratio = this.speed.firstTokenRatio(now, firstToken, usesPace) *
      (this.speed.isKnown ? 1 : UNKNOWN_SERVER_RATIO);
    const utilisation = this.runs.size / Math.max(1, this.record.slots);
    return ratio * nominalFirstTokenTime(cost, this.runs.pendingPrefillTokens) *
      (1 + utilisation);
  }

  /** Milliseconds to the first token that responses of this size took. */
  usualFirstTokenTime(
    cost: Cost,
    { firstToken, usesPace }: ServiceLatencyRatios,
    now: number,
  ): number {
    return this.speed.firstTokenRatio(now, firstToken, usesPace) *
      nominalFirstTokenTime(cost);
  }

  /** Speed in relation to the service's average, as far as it is known. */
  relativeSpeed(
    { decode, usesPace }: ServiceLatencyRatios,
    now: number,
  ): number {
    return decode / this.speed.decodeRatio(now, decode, usesPace);
  }

  /** Expected milliseconds from the first token to the last. */
  expectedDecodeTime(
    cost: Cost,
    latencyRatios: ServiceLatencyRatios,
    now: number,
  ): number {
    const { decode, usesPace } = latencyRatios;
    return this.speed.decodeRatio(now, decode, usesPace) *
      nominalDecodeTime(cost);
  }

  /** Counts a request, granted here, against the server's limits. */
  countAgainstLimit(now: number): void {
    this.#rateLimiter?.take(now);
    this.#startLimiter?.take(now);
  }

  /** Takes back the count of a request that did not reach the server. */
  refundLimit(): void {
    this.#rateLimiter?.refund();
    this.#startLimiter?.refund();
  }

  /** Forgets the unused part of limits while another entry grants. */
  resetLimiters(): void {
    this.#rateLimiter = undefined;
    this.#startLimiter = undefined;
  }

  /**
   * Records that the response started `latency` milliseconds after sending.
   * Returns the cost of the request, if its run is known, with the pace to
   * divide the latency by.
   */
  recordResponseStart(
    id: string,
    latency: number,
    now: number,
  ): ObservedStart | undefined {
    this.#backoff = 0;
    const run = this.runs.recordResponseStart(id);
    if (run === undefined) return undefined;
    const paceIntegral = this.speed.paceIntegral(now);
    run.responseStart = { at: now, paceIntegral };
    const { cost, paceAtGrant } = run;
    const pace = this.speed.recordFirstToken(
      latency,
      nominalFirstTokenTime(cost),
      paceAtGrant,
      now,
    );
    return { cost, pace };
  }

  /**
   * Records how fast a response came after its first token. Returns the pace by
   * which that time is to be divided.
   */
  recordStreamTiming(
    id: string,
    timing: StreamTiming,
    isAdaptive: boolean,
    now: number,
  ): number {
    const { tokens, measured, pausePart } = timing;
    const nominal = nominalDecodeTime({
      promptTokens: 1,
      outputTokens: tokens,
    });
    const run = this.runs.get(id);
    const meanPace = this.#meanPace(run?.responseStart, now);
    const pace = this.speed.recordDecode(measured, nominal, meanPace, now);
    if (run === undefined) return pace;
    const { maximumPendingPrefill: pending, pauseGoal } = run;
    if (isAdaptive) {
      const factor = pauseFactor(pauseGoal);
      this.#prefillLimit.observeFaded(pausePart, pending / factor, now);
    } else this.#prefillLimit.observe(pausePart, pending, now);
    return pace;
  }

  /**
   * Removes the runs of an entry, whose connections to the server have ended,
   * and its backoff, which it reports again when it reconnects.
   */
  removeEntry(entry: string): void {
    this.runs.removeEntry(entry);
    this.#requestedBackoffs.delete(entry);
  }

  /**
   * Stops sending requests for the backoff time, because nothing listens at the
   * address or another server does. Otherwise a crashed server would look idle
   * and attract all requests.
   */
  markDown(now: number): void {
    this.#backoff = this.#backoff === 0
      ? FIRST_BACKOFF
      : Math.min(MAXIMUM_BACKOFF, this.#backoff * 2);
    this.#downUntil = now + this.#backoff;
  }

  /**
   * Records that a connection attempt of an entry timed out: either the path
   * from that entry is broken, or the server is. The server counts as down if
   * several entries fail to reach it.
   */
  markUnreachableFrom(entry: string, now: number): void {
    for (const [other, until] of this.#unreachableFrom) {
      if (until <= now) this.#unreachableFrom.delete(other);
    }
    this.#unreachableFrom.set(entry, now + MAXIMUM_BACKOFF);
    if (this.#unreachableFrom.size > 1) this.markDown(now);
  }

  /** Records that the server wants no requests of an entry until `until`. */
  recordRequestedBackoff(entry: string, until: number): void {
    const known = this.#requestedBackoffs.get(entry) ?? -Infinity;
    this.#requestedBackoffs.set(entry, Math.max(known, until));
  }

  /**
   * End of the backoff that the server requests of an entry; `-Infinity` if it
   * requests none.
   */
  requestedBackoffEnd(entry: string): number {
    if (this.#requestedBackoffs.size === 0) return -Infinity;
    return this.#requestedBackoffs.get(entry) ?? -Infinity;
  }

  /** False if an entry must not send to the server now, whatever it sends. */
  isAvailableTo(entry: string, now: number): boolean {
    return this.#isReachableFrom(entry, now) &&
      now >= this.requestedBackoffEnd(entry);
  }

  #rateAllows(bounds: UsageBounds, now: number): boolean {
    // Both limiters have to know the limits in force, so neither is skipped.
    const stated = this.#statedRateAllows(bounds, now);
    return this.#startRateAllows(bounds, now) && stated;
  }

  #statedRateAllows({ fractions, limit }: UsageBounds, now: number): boolean {
    if (limit === undefined) {
      this.#rateLimiter = undefined;
      return true;
    }
    this.#rateLimiter ??= new StatedRateLimiter(now);
    this.#rateLimiter.configure(limit.perSecond, fractions.quota, now);
    return this.#rateLimiter.allows(now);
  }

  #startRateAllows(
    { fractions, startLimit }: UsageBounds,
    now: number,
  ): boolean {
    const accepted = startLimit.of(this.record, now);
    if (accepted === undefined) {
      this.#startLimiter = undefined;
      return true;
    }
    this.#startLimiter ??= startLimit.createLimiter(accepted, now);
    this.#startLimiter.configure(accepted, fractions.quota, now);
    return this.#startLimiter.allows(now);
  }

  /**
   * A prompt that is larger than every server's limit is admitted by a server
   * with the largest limit, while no other prefill is pending there.
   */
  #admitsPrefill(
    tokens: number,
    { limit, largestPrefillLimit, factor }: {
      limit: number;
      largestPrefillLimit: number;
      factor: number;
    },
  ): boolean {
    const { pendingPrefillTokens } = this.runs;
    if (pendingPrefillTokens + tokens <= limit * factor) return true;
    return pendingPrefillTokens === 0 &&
      (tokens <= limit || limit >= largestPrefillLimit);
  }

  /** Mean reported pace since a response started. */
  #meanPace(start: Run["responseStart"], now: number): number {
    if (start === undefined || now <= start.at) return 1;
    const mean = (this.speed.paceIntegral(now) - start.paceIntegral) /
      (now - start.at);
    // A report that is older than the start changes the integral afterwards.
    return Math.max(MINIMUM_PACE, mean);
  }

  #isReachableFrom(entry: string, now: number): boolean {
    if (now < this.#downUntil) return false;
    return now >= (this.#unreachableFrom.get(entry) ?? -Infinity);
  }

  /**
   * After a failed connection attempt a server is sent a single request first:
   * it may refuse again, and each refusal costs its caller a round trip.
   */
  #maximumRuns(bounds: UsageBounds, now: number): number {
    return this.#backoff > 0 ? 1 : this.#slotsFor(bounds, now);
  }

  /** Slots that are left to the group. */
  #slotsFor({ fractions, isAdaptive }: UsageBounds, now: number): number {
    const { slots } = this.record;
    const share = slots * fractions.room;
    if (!isAdaptive) return share;
    return Math.max(0, Math.min(share, slots - this.speed.otherRuns(now)));
  }
}
