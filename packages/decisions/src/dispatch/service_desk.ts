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
import type { ServerRecord } from "../discovery/mod.ts";
import { AnswerValue } from "./answer_value.ts";
import type { Ask, AskRefusal, AskVerdict, RunEnd } from "./ask.ts";
import { AskQueue, WaitingAsk } from "./ask_queue.ts";
import { GrantRate } from "./grant_rate.ts";
import { ReturningCallers } from "./returning_callers.ts";
import type { AnswerPace } from "./server_room.ts";
import { ServiceRooms } from "./service_rooms.ts";
import type { Granted } from "./service_rooms.ts";

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

/** Grants servers of one service. Verdicts are drawn by `verdicts`. */
export class ServiceDesk {
  readonly #rooms = new ServiceRooms();
  readonly #rate = new GrantRate();
  readonly #value = new AnswerValue();
  readonly #queue = new AskQueue();
  readonly #granted = new Map<string, Granted>();
  readonly #returning = new ReturningCallers();

  get waiting(): number {
    return this.#queue.size;
  }

  get running(): number {
    return this.#granted.size;
  }

  /** Requests that all servers run at once. */
  get places(): number {
    return this.#rooms.places;
  }

  /** Grants in the last second. */
  granted(now: number): number {
    return this.#rate.perSecond(now);
  }

  /** Takes over which servers may be sent work. */
  setServers(records: readonly ServerRecord[]): void {
    this.#rooms.setServers(records);
  }

  /** The part of each server's room that this group of entries uses. */
  setPart(part: number): void {
    this.#rooms.setPart(part);
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
    const time = this.#rooms.expectedTime(ask, now);
    this.#rate.arrived(waiting.key, time, now);
    this.#queue.push(waiting);
    return undefined;
  }

  /** Takes an ask back, or states that its grant was not used. */
  withdraw(id: string): void {
    this.#queue.remove(id);
    const granted = this.#granted.get(id);
    if (granted === undefined) return;
    this.#granted.delete(id);
    this.#rooms.released(granted);
  }

  /** Counts a run that another entry granted before. */
  adopt(ask: Ask, server: string): void {
    if (this.#granted.has(ask.id)) return;
    const granted = { ask, server };
    if (this.#rooms.adopted(granted)) this.#granted.set(ask.id, granted);
  }

  /** The first answer came `measured` milliseconds after the request was sent. */
  firstAnswer(id: string, measured: number, now: number): void {
    const granted = this.#granted.get(id);
    if (granted !== undefined) this.#rooms.firstAnswer(granted, measured, now);
  }

  /** All after the first token of an answer came; call it before `ended`. */
  restAnswered(id: string, pace: AnswerPace, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined || pace.tokens <= 0) return;
    this.#rooms.restAnswered(granted, pace, now);
  }

  /** States how a granted request ended. */
  ended(id: string, end: RunEnd, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined) return;
    this.#granted.delete(id);
    this.#rooms.ended(granted, end, now);
  }

  /** An entry is gone, and with it its connections to servers. */
  forgetEntry(entry: string): void {
    for (const { ask } of [...this.#queue]) {
      if (ask.entry === entry) this.#queue.remove(ask.id);
    }
    for (const [id, { ask }] of this.#granted) {
      if (ask.entry === entry) this.#granted.delete(id);
    }
    this.#rooms.forgetEntry(entry);
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
    if (!this.#rooms.hasPlace()) return undefined;
    const view = this.#rooms.view(now);
    let server: string | undefined;
    const waiting = this.#queue.take((ask) => {
      server = this.#rooms.choose(ask, view, now);
      return server !== undefined;
    });
    if (waiting === undefined || server === undefined) return undefined;
    const { ask } = waiting;
    const granted = { ask, server };
    this.#granted.set(ask.id, granted);
    this.#rooms.started(granted, now);
    this.#rate.granted(now);
    return { kind: "grant", ask, server };
  }

  #waitingOf(ask: Ask, now: number): WaitingAsk {
    const value = this.#value.observe(
      `${ask.tierRank}.${ask.routeRank}`,
      ask.cost,
    );
    const latestStart = ask.goalAt - this.#rooms.expectedFirst(ask, now);
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
    if (!this.#rooms.hasPlace() && this.#beyondReach(late.key, now)) {
      verdicts.push(this.#refusal(ask, "overload", now));
      return;
    }
    this.#queue.push(late);
  }

  #beyondReach(key: number, now: number): boolean {
    return this.#rate.beyondReach(key, this.#rooms.ownPlaces, now);
  }

  #refusal(ask: Ask, reason: AskRefusal, now: number): AskVerdict {
    this.#returning.refused(ask.fingerprint, now);
    const retryAfter = reason === "no_server"
      ? RETRY_WITHOUT_SERVER
      : retryAfterBurst(ask, now);
    return { kind: "refuse", ask, reason, retryAfter };
  }
}

function retryAfterBurst(ask: Ask, now: number): number {
  const longest = Math.min(
    LONGEST_RETRY,
    Math.max(0, ask.endsAt - now) * LONGEST_RETRY_PART,
  );
  return longest * (1 - RETRY_SPREAD_PART * ask.spread);
}
