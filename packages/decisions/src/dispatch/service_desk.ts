/**
 * The one queue in front of all backend servers of a service: who waits, who is
 * sent where, who is turned away.
 *
 * Load pattern: engines of unlike speed that batch a dozen requests, know no
 * priorities and admit in order of arrival; bursts of twice the usual; several
 * tiers, of which the lowest is the most numerous. Whatever is sent to an engine
 * waits there beyond any control, so no more is sent than it runs at once, and
 * what waits here can be ordered, sent elsewhere or refused early.
 *
 * - Requests that can still be answered on time go before those that can't,
 *   and among each the higher tier first: an answer that is late already loses
 *   less by waiting than one that becomes late.
 * - A request is turned away as it arrives when the queue in front of it is
 *   longer than its caller will wait, and told when to come back.
 * @module
 */
import { Ejection } from "../ejection/mod.ts";
import type { ServerRecord } from "../discovery/mod.ts";
import { incarnationOf } from "../discovery/mod.ts";
import { WaitingQueue } from "../queueing/mod.ts";
import type { Waiting } from "../queueing/mod.ts";
import type { Ask, AskRefusal, AskVerdict, RunEnd } from "./ask.ts";
import { GrantRate } from "./grant_rate.ts";
import { nominalTime, Pace } from "./pace.ts";
import { ServerRoom } from "./server_room.ts";

/** Most asks that wait for one service: some seconds of a busy one's traffic. */
const CAPACITY = 2000;
/**
 * Milliseconds that a server of another data centre must be faster by, to be
 * preferred. Bytes between data centres have a price.
 */
const DISTANCE_PENALTY = 60;
/** Longest and shortest times to come back that are asked of a caller. */
const SHORTEST_RETRY = 300;
const LONGEST_RETRY = 4000;

/** Grants servers of one service. Verdicts are collected by {@link verdicts}. */
export class ServiceDesk {
  readonly #rooms = new Map<string, ServerRoom>();
  readonly #ejection = new Ejection();
  readonly #pace = new Pace();
  readonly #rate = new GrantRate();
  readonly #asks = new Map<string, Ask>();
  readonly #granted = new Map<string, { ask: Ask; server: string }>();
  readonly #timely = new WaitingQueue({ capacity: CAPACITY });
  readonly #late = new WaitingQueue({ capacity: CAPACITY });
  #part = 1;

  get waiting(): number {
    return this.#asks.size;
  }

  get running(): number {
    return this.#granted.size;
  }

  /** Requests that all servers run at once. */
  get places(): number {
    let places = 0;
    for (const room of this.#rooms.values()) places += room.record.slots;
    return places;
  }

  /** Grants in the last second. */
  granted(now: number): number {
    return Math.round(this.#rate.perSecond(now) ?? 0);
  }

  /** Takes over which servers may be sent work. */
  setServers(records: readonly ServerRecord[]): void {
    const keep = new Set(records.map(incarnationOf));
    for (const name of [...this.#rooms.keys()]) {
      if (keep.has(name)) continue;
      this.#rooms.delete(name);
      this.#ejection.remove(name);
    }
    for (const record of records) {
      const name = incarnationOf(record);
      const room = this.#rooms.get(name);
      if (room !== undefined) {
        room.record = record;
        continue;
      }
      this.#rooms.set(name, new ServerRoom(record));
      this.#ejection.add(name);
    }
  }

  /** The part of each server's room that this group of entries uses. */
  setPart(part: number): void {
    this.#part = part;
  }

  /** Queues an ask, or turns it away at once. */
  ask(ask: Ask, now: number): AskVerdict | undefined {
    if (this.#rooms.size === 0) {
      return refusal(ask, "no_server", SHORTEST_RETRY);
    }
    const wait = this.#expectedWait(ask, now);
    if (now + wait > ask.lapsesAt) {
      return refusal(ask, "overload", wait);
    }
    this.#asks.set(ask.id, ask);
    this.#enqueue(ask, now);
    return undefined;
  }

  /** Takes an ask back, or states that its grant was not used. */
  withdraw(id: string): void {
    this.#timely.withdraw(id);
    this.#late.withdraw(id);
    this.#asks.delete(id);
    const granted = this.#granted.get(id);
    if (granted === undefined) return;
    this.#granted.delete(id);
    this.#rooms.get(granted.server)?.ended(id);
  }

  /** Counts a run that another entry granted before. */
  adopt(ask: Ask, server: string, now: number): void {
    const room = this.#rooms.get(server);
    if (room === undefined || this.#granted.has(ask.id)) return;
    this.#granted.set(ask.id, { ask, server });
    room.started(ask, now);
  }

  /** The first answer came `measured` milliseconds after the request was sent. */
  firstAnswer(id: string, measured: number, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined) return;
    const room = this.#rooms.get(granted.server);
    const cost = room?.firstAnswer(id, measured);
    if (cost === undefined) return;
    const nominal = nominalTime(cost);
    this.#pace.observe(measured, nominal);
    this.#ejection.succeeded(granted.server, now, measured / nominal);
  }

  /** States how a granted request ended. */
  ended(id: string, end: RunEnd, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined) return;
    this.#granted.delete(id);
    const room = this.#rooms.get(granted.server);
    if (room === undefined) return;
    room.ended(id);
    this.#judge(room, granted, end, now);
  }

  /** An entry is gone, and with it its connections to servers. */
  forgetEntry(entry: string): void {
    for (const [id, ask] of this.#asks) {
      if (ask.entry === entry) this.withdraw(id);
    }
    for (const [id, { ask }] of this.#granted) {
      if (ask.entry === entry) this.#granted.delete(id);
    }
    for (const room of this.#rooms.values()) room.forgetEntry(entry);
  }

  /** Everything that can be decided now. */
  verdicts(now: number): AskVerdict[] {
    this.#demote(now);
    const verdicts: AskVerdict[] = this.#lapsed(now);
    for (const queue of [this.#timely, this.#late]) {
      for (;;) {
        const grant = this.#grantNext(queue, now);
        if (grant === undefined) break;
        verdicts.push(grant);
      }
    }
    return verdicts;
  }

  #grantNext(queue: WaitingQueue, now: number): AskVerdict | undefined {
    if (queue.size === 0) return undefined;
    let chosen: string | undefined;
    const waiting = queue.take(now, (waiting) => {
      const ask = this.#asks.get(waiting.id);
      if (ask === undefined) return false;
      chosen = this.#choose(ask, now);
      return chosen !== undefined;
    });
    const ask = waiting && this.#asks.get(waiting.id);
    if (ask === undefined || chosen === undefined) return undefined;
    this.#asks.delete(ask.id);
    this.#granted.set(ask.id, { ask, server: chosen });
    this.#rooms.get(chosen)?.started(ask, now);
    this.#ejection.started(chosen, now);
    this.#rate.granted(now);
    return { kind: "grant", ask, server: chosen };
  }

  /** The server with room that is expected to answer first. */
  #choose(ask: Ask, now: number): string | undefined {
    let best: string | undefined;
    let bestScore = Infinity;
    const middling = this.#pace.ratio ?? 1;
    for (const [name, room] of this.#rooms) {
      if (ask.avoid.includes(name)) continue;
      if (!room.admits(ask, this.#part, now)) continue;
      if (!this.#ejection.allowed(name, now)) continue;
      const distance = room.record.dataCentre === ask.dataCentre
        ? 0
        : DISTANCE_PENALTY;
      const score = room.expectedFirst(ask.cost, middling) + distance;
      if (score < bestScore) {
        bestScore = score;
        best = name;
      }
    }
    return best;
  }

  /** Those that can't be on time any more wait behind those that can. */
  #demote(now: number): void {
    for (const waiting of this.#timely.expire(now)) {
      const ask = this.#asks.get(waiting.id);
      if (ask !== undefined) this.#enqueueLate(ask, now);
    }
  }

  #lapsed(now: number): AskVerdict[] {
    const verdicts: AskVerdict[] = [];
    for (const waiting of this.#late.expire(now)) {
      const ask = this.#asks.get(waiting.id);
      if (ask === undefined) continue;
      this.#asks.delete(ask.id);
      verdicts.push(refusal(ask, "expired", this.#expectedWait(ask, now)));
    }
    return verdicts;
  }

  #enqueue(ask: Ask, now: number): void {
    const latestStart = ask.goalAt - this.#expectedFirst(ask);
    if (latestStart <= now) {
      this.#enqueueLate(ask, now);
      return;
    }
    this.#timely.offer(waitingOf(ask, latestStart), now);
  }

  #enqueueLate(ask: Ask, now: number): void {
    this.#late.offer(waitingOf(ask, Math.max(now, ask.lapsesAt)), now);
  }

  #expectedFirst(ask: Ask): number {
    return (this.#pace.ratio ?? 1) * nominalTime(ask.cost);
  }

  /** Milliseconds until those in front of the ask have been granted. */
  #expectedWait(ask: Ask, now: number): number {
    const ahead = this.#sizeUpTo(this.#timely, ask.tierRank) +
      this.#sizeUpTo(this.#late, ask.tierRank);
    if (ahead === 0) return 0;
    const rate = this.#rate.perSecond(now);
    if (rate === undefined) return 0;
    return ahead / Math.max(rate, 1) * 1000;
  }

  #sizeUpTo(queue: WaitingQueue, tierRank: number): number {
    let size = 0;
    for (let rank = 0; rank <= tierRank; rank++) size += queue.sizeOf(rank);
    return size;
  }

  #judge(
    room: ServerRoom,
    granted: { ask: Ask; server: string },
    end: RunEnd,
    now: number,
  ): void {
    switch (end) {
      case "connection_refused":
        room.refusedConnection(now);
        return;
      case "connection_timeout":
        room.silentTo(granted.ask.entry, now);
        return;
      case "failed":
        this.#ejection.failed(granted.server, "error", now);
        return;
      case "broken":
        this.#ejection.failed(granted.server, "error", now);
        return;
      default:
    }
  }
}

function waitingOf(ask: Ask, deadline: number): Waiting {
  return {
    id: ask.id,
    tierRank: ask.tierRank,
    organisation: ask.organisation,
    weight: 1,
    cost: ask.cost,
    deadline,
    arrived: ask.arrived,
  };
}

function refusal(ask: Ask, reason: AskRefusal, wait: number): AskVerdict {
  const retryAfter = Math.min(LONGEST_RETRY, Math.max(SHORTEST_RETRY, wait));
  return { kind: "refuse", ask, reason, retryAfter };
}
