/** What one backend server runs for the group, and whether it has room. @module */
import type { ServerRecord } from "../discovery/mod.ts";
import type { Cost } from "../queueing/mod.ts";
import type { Ask } from "./ask.ts";
import { nominalTime, Pace } from "./pace.ts";

/**
 * Milliseconds of prompts that a server may have to read at a time. Prompts are
 * read between the tokens of the requests beside them; more at once and their
 * pauses pass the 250 ms that callers accept.
 */
const UNREAD_TIME = 200;

/** Milliseconds without work for a server that could not be connected to. */
const FIRST_BACKOFF = 250;
const LONGEST_BACKOFF = 2000;

type Run = { entry: string; cost: Cost; unread: boolean; grantedAt: number };

/** One server's runs, by ask. */
export class ServerRoom {
  record: ServerRecord;
  readonly pace = new Pace();
  readonly #runs = new Map<string, Run>();
  #unreadTokens = 0;
  #downUntil = -Infinity;
  #backoff = 0;
  /** Entry that alone could not connect, and until when it is not sent here. */
  readonly #unreachableFrom = new Map<string, number>();

  constructor(record: ServerRecord) {
    this.record = record;
  }

  get running(): number {
    return this.#runs.size;
  }

  get unreadTokens(): number {
    return this.#unreadTokens;
  }

  /** Whether the server may be given the ask; `part`: see `groupPart`. */
  admits(ask: Ask, part: number, now: number): boolean {
    if (!this.reachable(ask.entry, now)) return false;
    if (this.#runs.size >= this.#largest(part)) return false;
    if (this.#unreadTokens === 0) return true;
    const ratio = this.pace.ratio ?? 1;
    const unread = nominalTime(ask.cost, this.#unreadTokens) -
      nominalTime({ promptTokens: 1, outputTokens: 0 });
    return ratio * unread < UNREAD_TIME;
  }

  /** False while connections from the entry fail. */
  reachable(entry: string, now: number): boolean {
    if (now < this.#downUntil) return false;
    return now >= (this.#unreachableFrom.get(entry) ?? -Infinity);
  }

  /** Expected milliseconds to the first answer; `middling`: the service's pace. */
  expectedFirst(cost: Cost, middling: number): number {
    const ratio = this.pace.ratio ?? middling;
    const filled = this.#runs.size / Math.max(1, this.record.slots);
    return ratio * nominalTime(cost, this.#unreadTokens) * (1 + filled);
  }

  started(ask: Ask, now: number): void {
    const unread = ask.cost.promptTokens > 0;
    this.#runs.set(ask.id, {
      entry: ask.entry,
      cost: ask.cost,
      unread,
      grantedAt: now,
    });
    if (unread) this.#unreadTokens += ask.cost.promptTokens;
  }

  /** The first answer came, `measured` milliseconds after the request was sent. */
  firstAnswer(id: string, measured: number): Cost | undefined {
    const run = this.#runs.get(id);
    this.#backoff = 0;
    if (run === undefined) return undefined;
    this.#read(run);
    this.pace.observe(measured, nominalTime(run.cost));
    return run.cost;
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
   * Connections are refused: no process listens. Without this a crashed server
   * looks idle, and draws every request to itself.
   */
  refusedConnection(now: number): void {
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
    if (this.#unreachableFrom.size > 1) this.refusedConnection(now);
  }

  /**
   * A server that comes back from a failed connect gets one request first: it may
   * refuse again, and each refusal costs its caller a round trip.
   */
  #largest(part: number): number {
    if (this.#backoff > 0) return 1;
    return this.record.slots * part;
  }

  #read(run: Run): void {
    if (!run.unread) return;
    run.unread = false;
    this.#unreadTokens -= run.cost.promptTokens;
  }
}
