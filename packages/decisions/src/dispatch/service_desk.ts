/**
 * The one queue in front of all backend servers of a service: who waits, who is
 * sent where, who is turned away.
 *
 * Load pattern: engines of unlike speed that batch a dozen requests, know no
 * priorities and admit in order of arrival; bursts of twice the usual. Whatever
 * is sent to an engine waits there beyond any control, so no more is sent than
 * it runs at once, and what waits here can be ordered, sent elsewhere or refused
 * early. The order is that of `ask_value.ts`; a request is turned away, and told
 * when to come back, once it can't be on time and is out of reach of that order.
 * Turned away on arrival, by what came in the last two seconds, some went for
 * whom a place was free within their goal: 71 of 100 were served, 74 without.
 * @module
 */
import { Ejection } from "../ejection/mod.ts";
import type { ServerRecord } from "../discovery/mod.ts";
import { incarnationOf } from "../discovery/mod.ts";
import { AnswerValue } from "./answer_value.ts";
import type { Ask, AskRefusal, AskVerdict, RunEnd } from "./ask.ts";
import { AskQueue, WaitingAsk } from "./ask_queue.ts";
import { GrantRate } from "./grant_rate.ts";
import { nominalFirst, nominalRest, Pace } from "./pace.ts";
import { ReturningCallers } from "./returning_callers.ts";
import { ServerRoom } from "./server_room.ts";
import type { AnswerPace, ServicePaces } from "./server_room.ts";

/**
 * Milliseconds that a server of another data centre must be faster by, to be
 * preferred. Bytes between data centres have a price.
 */
const DISTANCE_PENALTY = 60;
/**
 * Part of an answer's expected time after its first token that counts in the
 * choice: a place at a fast server is free again sooner.
 */
const REST_WEIGHT = 0.1;
/** Milliseconds to come back that are asked of a caller while there is no server. */
const RETRY_WITHOUT_SERVER = 300;
/**
 * Milliseconds to come back after a refusal for lack of room: bursts last 2.5 to
 * 5 s, and who comes back within one is refused for good. Callers wait a third of
 * their time left at most. Spread over the upper half of it, so that those refused
 * together don't return together.
 */
const LONGEST_RETRY = 5000;
const LONGEST_RETRY_PART = 1 / 3;
const RETRY_SPREAD_PART = 0.5;

/** What a choice among a service's servers goes by, worked out once for all. */
type ServiceView = {
  part: number;
  paces: ServicePaces;
  largestLimit: number;
};

type Granted = { ask: Ask; server: string };

/** Grants servers of one service. Verdicts are drawn by `verdicts`. */
export class ServiceDesk {
  readonly #rooms = new Map<string, ServerRoom>();
  readonly #ejection = new Ejection();
  readonly #first = new Pace();
  readonly #rest = new Pace();
  readonly #rate = new GrantRate();
  readonly #value = new AnswerValue();
  readonly #queue = new AskQueue();
  readonly #granted = new Map<string, Granted>();
  readonly #returning = new ReturningCallers();
  #part = 1;

  get waiting(): number {
    return this.#queue.size;
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
    return this.#rate.perSecond(now);
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
    // Held until its end, a request that every server was tried for would get
    // the same answer, only later.
    const tried = ask.avoid.filter((name) => this.#rooms.has(name)).length;
    if (tried >= this.#rooms.size) {
      return this.#refusal(ask, "no_server", now);
    }
    const waiting = this.#waitingOf(ask, now);
    this.#rate.arrived(waiting.key, this.#expectedTime(ask, now), now);
    this.#queue.push(waiting);
    return undefined;
  }

  /** Takes an ask back, or states that its grant was not used. */
  withdraw(id: string): void {
    this.#queue.remove(id);
    const granted = this.#granted.get(id);
    if (granted === undefined) return;
    this.#granted.delete(id);
    this.#rooms.get(granted.server)?.ended(id);
  }

  /** Counts a run that another entry granted before. */
  adopt(ask: Ask, server: string): void {
    const room = this.#rooms.get(server);
    if (room === undefined || this.#granted.has(ask.id)) return;
    this.#granted.set(ask.id, { ask, server });
    room.started(ask);
  }

  /** The first answer came `measured` milliseconds after the request was sent. */
  firstAnswer(id: string, measured: number, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined) return;
    const room = this.#rooms.get(granted.server);
    const cost = room?.firstAnswer(id, measured, now);
    if (cost === undefined) return;
    const nominal = nominalFirst(cost);
    this.#first.observe(measured, nominal, now);
    this.#ejection.succeeded(granted.server, now, measured / nominal);
  }

  /** All after the first token of an answer came; call it before `ended`. */
  restAnswered(id: string, pace: AnswerPace, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined || pace.tokens <= 0) return;
    this.#rooms.get(granted.server)?.restAnswered(id, pace, now);
    const cost = { promptTokens: 1, outputTokens: pace.tokens };
    this.#rest.observe(pace.measured, nominalRest(cost), now);
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
    for (const { ask } of [...this.#queue]) {
      if (ask.entry === entry) this.#queue.remove(ask.id);
    }
    for (const [id, { ask }] of this.#granted) {
      if (ask.entry === entry) this.#granted.delete(id);
    }
    for (const room of this.#rooms.values()) room.forgetEntry(entry);
  }

  /** Everything that can be decided now. */
  verdicts(now: number): AskVerdict[] {
    const verdicts = this.#changes(now);
    while (this.#queue.size > 0) {
      const grant = this.#grantNext(now);
      if (grant === undefined) break;
      verdicts.push(grant);
    }
    return verdicts;
  }

  #grantNext(now: number): AskVerdict | undefined {
    if (!this.#hasPlace()) return undefined;
    const view = {
      part: this.#part,
      paces: this.#paces(now),
      largestLimit: this.#largestLimit(),
    };
    let server: string | undefined;
    const waiting = this.#queue.take((ask) => {
      server = this.#choose(ask, view, now);
      return server !== undefined;
    });
    if (waiting === undefined || server === undefined) return undefined;
    const { ask } = waiting;
    this.#granted.set(ask.id, { ask, server });
    this.#rooms.get(server)?.started(ask);
    this.#ejection.started(server, now);
    this.#rate.granted(now);
    return { kind: "grant", ask, server };
  }

  #hasPlace(): boolean {
    for (const room of this.#rooms.values()) {
      if (room.hasPlace(this.#part)) return true;
    }
    return false;
  }

  #largestLimit(): number {
    let largest = 0;
    for (const room of this.#rooms.values()) {
      largest = Math.max(largest, room.readingLimit);
    }
    return largest;
  }

  /** The server with room that is expected to be done soonest. */
  #choose(ask: Ask, view: ServiceView, now: number): string | undefined {
    const { paces } = view;
    let best: string | undefined;
    let bestScore = Infinity;
    for (const [name, room] of this.#rooms) {
      if (ask.avoid.includes(name)) continue;
      if (!room.admits(ask, view, now)) continue;
      if (!this.#ejection.allowed(name, now)) continue;
      const near = room.record.dataCentre === ask.dataCentre;
      const score = room.expectedFirst(ask.cost, paces, now) +
        REST_WEIGHT * room.expectedRest(ask.cost, paces, now) +
        (near ? 0 : DISTANCE_PENALTY);
      if (score < bestScore) {
        bestScore = score;
        best = name;
      }
    }
    return best;
  }

  #waitingOf(ask: Ask, now: number): WaitingAsk {
    const value = this.#value.observe(ask.tierRank, ask.cost);
    const first = this.#paces(now).first * nominalFirst(ask.cost);
    const latestStart = ask.goalAt - first;
    const { lapsesAt } = ask;
    if (ask.excess) {
      const changesAt = Math.max(now, latestStart);
      return new WaitingAsk(ask, { standing: "excess", changesAt, value });
    }
    if (this.#returning.returns(ask.fingerprint, now)) {
      const standing = "returned";
      return new WaitingAsk(ask, { standing, changesAt: lapsesAt, value });
    }
    return latestStart > now
      ? new WaitingAsk(ask, {
        standing: "timely",
        changesAt: latestStart,
        value,
      })
      : new WaitingAsk(ask, { standing: "late", changesAt: lapsesAt, value });
  }

  /** Asks that can't be on time any more, and those nobody waits for. */
  #changes(now: number): AskVerdict[] {
    const verdicts: AskVerdict[] = [];
    for (const waiting of this.#queue.due(now)) {
      const { ask } = waiting;
      this.#queue.remove(ask.id);
      if (waiting.standing === "excess") {
        verdicts.push(this.#refusal(ask, "quota", now));
        continue;
      }
      if (ask.lapsesAt <= now) {
        verdicts.push(this.#refusal(ask, "expired", now));
        continue;
      }
      this.#becomeLate(waiting, now, verdicts);
    }
    return verdicts;
  }

  #becomeLate(waiting: WaitingAsk, now: number, verdicts: AskVerdict[]): void {
    const { ask, value } = waiting;
    const late = new WaitingAsk(ask, {
      standing: "late",
      changesAt: ask.lapsesAt,
      value,
    });
    // Just after a start expected times are high, since the process itself is
    // slow: by them alone callers were refused while places were free.
    if (!this.#hasPlace() && this.#beyondReach(late.key, now)) {
      verdicts.push(this.#refusal(ask, "overload", now));
      return;
    }
    this.#queue.push(late);
  }

  #beyondReach(key: number, now: number): boolean {
    return this.#rate.beyondReach(key, this.places * this.#part, now);
  }

  /** Milliseconds for which the ask is expected to take a place. */
  #expectedTime(ask: Ask, now: number): number {
    const { first, rest } = this.#paces(now);
    return first * nominalFirst(ask.cost) + rest * nominalRest(ask.cost);
  }

  #paces(now: number): ServicePaces {
    return {
      first: this.#first.ratio(now, 1),
      rest: this.#rest.ratio(now, 1),
    };
  }

  #refusal(ask: Ask, reason: AskRefusal, now: number): AskVerdict {
    this.#returning.refused(ask.fingerprint, now);
    const retryAfter = reason === "no_server"
      ? RETRY_WITHOUT_SERVER
      : retryAfterBurst(ask, now);
    return { kind: "refuse", ask, reason, retryAfter };
  }

  #judge(room: ServerRoom, granted: Granted, end: RunEnd, now: number): void {
    switch (end) {
      case "connection_refused":
      case "misdirected":
        room.notThere(now);
        return;
      case "connection_timeout":
        room.silentTo(granted.ask.entry, now);
        return;
      case "failed":
      case "broken":
        this.#ejection.failed(granted.server, "error", now);
        return;
      default:
    }
  }
}

function retryAfterBurst(ask: Ask, now: number): number {
  const longest = Math.min(
    LONGEST_RETRY,
    Math.max(0, ask.endsAt - now) * LONGEST_RETRY_PART,
  );
  return longest * (1 - RETRY_SPREAD_PART * ask.spread);
}
