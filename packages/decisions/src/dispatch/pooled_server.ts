/** What one backend server runs for the group, and whether it has room. @module */
import type { ServerRecord } from "../discovery/mod.ts";
import type { GroupFractions } from "../fleet/mod.ts";
import type { Cost } from "../queueing/mod.ts";
import { LimitedPace, pacedRate } from "../server_limits/mod.ts";
import type { ServerLimit } from "../server_limits/mod.ts";
import type { GrantRequest } from "./grant_request.ts";
import { nominalFirst, nominalRest, Pace } from "./latency_ratio.ts";
import { ReadingLimit } from "./prefill_limit.ts";

/**
 * Milliseconds of prompts that a server may have to read at a time. Prompts are
 * read between the tokens of the requests beside them; more at once and their
 * pauses pass the 250 ms that callers accept.
 */
const UNREAD_TIME = 400;
/** Part of the time left that an answer is expected to take at most. */
const LONGEST_RUN_PART = 0.6;
/** Milliseconds without work for a server that could not be connected to. */
const FIRST_BACKOFF = 250;
const LONGEST_BACKOFF = 2000;

/**
 * Pace of a server that nothing is known of, beside the service's: a little
 * better, so that each is tried, and none is left aside for one slow start.
 */
const UNTRIED_PART = 0.8;

/** Paces of a whole service, for servers that nothing is known of. */
export type ServicePaces = { first: number; rest: number };

/** Of the part that an answer had beyond its first token. */
export type StreamTiming = {
  tokens: number;
  /** Milliseconds that they took. */
  measured: number;
  /** Longest pause between two events, over the longest that is accepted. */
  pausePart: number;
};

type Run = {
  entry: string;
  cost: Cost;
  unread: boolean;
  /** Most prompt tokens that the server had to read at a time meanwhile. */
  mostUnread: number;
};

/** What an entry may use of a server; see `GroupParts`. */
export type RoomBounds = {
  parts: GroupFractions;
  /** What the server accepts from all entries together, if it states it. */
  limit: ServerLimit | undefined;
};

/** One server's runs, by ask. */
export class ServerRoom {
  record: ServerRecord;
  readonly #first = new Pace();
  readonly #rest = new Pace();
  readonly #reading = new ReadingLimit();
  readonly #runs = new Map<string, Run>();
  #pace: LimitedPace | undefined;
  #unreadTokens = 0;
  #downUntil = -Infinity;
  #backoff = 0;
  /** Entries that alone could not connect, and until when they are not sent here. */
  readonly #unreachableFrom = new Map<string, number>();

  constructor(record: ServerRecord) {
    this.record = record;
  }

  get running(): number {
    return this.#runs.size;
  }

  /** Prompt tokens that it may have to read at a time. */
  get readingLimit(): number {
    return this.#reading.tokens;
  }

  /** Whether a further request may run. */
  hasPlace(bounds: RoomBounds, now: number): boolean {
    if (!this.#keepsPace(bounds, now)) return false;
    return this.#runs.size < this.#largest(bounds.parts.room);
  }

  /**
   * Requests that it runs at once; fewer than its slots where its limit starts
   * fewer within `runTime`, the milliseconds of a request.
   */
  places({ parts, limit }: RoomBounds, runTime: number): number {
    const places = this.record.slots * parts.room;
    if (limit === undefined) return places;
    const started = pacedRate(limit.perSecond, parts.quota) * runTime / 1000;
    return Math.min(places, started);
  }

  /**
   * Whether the server may be given the ask. `largestLimit`: the largest reading
   * limit of the service's servers.
   */
  admits(
    ask: GrantRequest,
    view: { paces: ServicePaces; largestLimit: number },
    now: number,
  ): boolean {
    const { paces, largestLimit } = view;
    if (!this.#reachable(ask.entry, now)) return false;
    const { cost } = ask;
    if (cost.promptTokens === 0) return true;
    if (!this.#mayRead(cost.promptTokens, largestLimit)) return false;
    const rest = this.#rest.ratio(now, paces.rest) * nominalRest(cost);
    const slow = this.#rest.ratio(now, paces.rest) > paces.rest;
    if (slow && rest > LONGEST_RUN_PART * (ask.deadline - now)) return false;
    if (this.#unreadTokens === 0) return true;
    const unread = nominalFirst(cost, this.#unreadTokens) -
      nominalFirst({ promptTokens: 1, outputTokens: 0 });
    return this.#first.ratio(now, paces.first) * unread < UNREAD_TIME;
  }

  /** Expected milliseconds to the first answer. */
  expectedFirst(cost: Cost, paces: ServicePaces, now: number): number {
    const known = this.#first.known;
    const ratio = this.#first.ratio(now, paces.first) *
      (known ? 1 : UNTRIED_PART);
    const filled = this.#runs.size / Math.max(1, this.record.slots);
    return ratio * nominalFirst(cost, this.#unreadTokens) * (1 + filled);
  }

  /** Expected milliseconds from the first token to the last. */
  expectedRest(cost: Cost, paces: ServicePaces, now: number): number {
    return this.#rest.ratio(now, paces.rest) * nominalRest(cost);
  }

  started(ask: GrantRequest): void {
    const { entry, cost } = ask;
    const unread = cost.promptTokens > 0;
    if (unread) this.#unreadTokens += cost.promptTokens;
    this.#runs.set(ask.id, { entry, cost, unread, mostUnread: 0 });
    for (const run of this.#runs.values()) {
      run.mostUnread = Math.max(run.mostUnread, this.#unreadTokens);
    }
  }

  /** Counts a request that is sent from here under the server's limit. */
  countSend(now: number): void {
    this.#pace?.take(now);
  }

  /** A request that was counted did not reach the server. */
  uncountSend(): void {
    this.#pace?.giveBack();
  }

  /** The first answer came, `measured` milliseconds after the request was sent. */
  firstAnswer(id: string, measured: number, now: number): Cost | undefined {
    const run = this.#runs.get(id);
    this.#backoff = 0;
    if (run === undefined) return undefined;
    this.#read(run);
    this.#first.observe(measured, nominalFirst(run.cost), now);
    return run.cost;
  }

  /** All after the first token of an answer came. */
  restAnswered(id: string, pace: StreamTiming, now: number): void {
    const { tokens, measured, pausePart } = pace;
    const cost = { promptTokens: 1, outputTokens: tokens };
    this.#rest.observe(measured, nominalRest(cost), now);
    const run = this.#runs.get(id);
    if (run !== undefined) {
      this.#reading.observe(pausePart, run.mostUnread, now);
    }
  }

  ended(id: string): boolean {
    const run = this.#runs.get(id);
    if (run === undefined) return false;
    this.#read(run);
    return this.#runs.delete(id);
  }

  /** Forgets what an entry ran, whose connections ended with it. */
  forgetEntry(entry: string): void {
    for (const [id, run] of this.#runs) {
      if (run.entry === entry) this.ended(id);
    }
  }

  /**
   * No process listens, or another server's does. Without this a crashed server
   * looks idle, and draws every request to itself.
   */
  notThere(now: number): void {
    this.#backoff = this.#backoff === 0
      ? FIRST_BACKOFF
      : Math.min(LONGEST_BACKOFF, this.#backoff * 2);
    this.#downUntil = now + this.#backoff;
  }

  /** An entry got no answer to a connect: the path, or the server, is cut. */
  silentTo(entry: string, now: number): void {
    for (const [other, until] of this.#unreachableFrom) {
      if (until <= now) this.#unreachableFrom.delete(other);
    }
    this.#unreachableFrom.set(entry, now + LONGEST_BACKOFF);
    if (this.#unreachableFrom.size > 1) this.notThere(now);
  }

  #keepsPace({ parts, limit }: RoomBounds, now: number): boolean {
    if (limit === undefined) {
      this.#pace = undefined;
      return true;
    }
    this.#pace ??= new LimitedPace(now);
    this.#pace.configure(limit.perSecond, parts.quota, now);
    return this.#pace.allows(now);
  }

  /** Prompts beyond every server's limit go to one that can take most. */
  #mayRead(tokens: number, largestLimit: number): boolean {
    if (this.#unreadTokens + tokens <= this.#reading.tokens) return true;
    return this.#unreadTokens === 0 && this.#reading.tokens >= largestLimit;
  }

  #reachable(entry: string, now: number): boolean {
    if (now < this.#downUntil) return false;
    return now >= (this.#unreachableFrom.get(entry) ?? -Infinity);
  }

  /**
   * A server that comes back from a failed connect gets one request first: it may
   * refuse again, and each refusal costs its caller a round trip.
   */
  #largest(part: number): number {
    return this.#backoff > 0 ? 1 : this.record.slots * part;
  }

  #read(run: Run): void {
    if (!run.unread) return;
    run.unread = false;
    this.#unreadTokens -= run.cost.promptTokens;
  }
}
