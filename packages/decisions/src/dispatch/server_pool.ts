/**
 * All servers of one service: what each runs, how fast each is, which are left
 * out, and which one a request goes to.
 * @module
 */
import { incarnationOf } from "../discovery/mod.ts";
import type { ServerRecord } from "../discovery/mod.ts";
import { OutlierEjection } from "../ejection/mod.ts";
import type { GroupFractions } from "../fleet/mod.ts";
import { ServerLimits } from "../server_limits/mod.ts";
import type { GrantRequest, RunOutcome } from "./grant_request.ts";
import { nominalFirst, nominalRest, Pace } from "./latency_ratio.ts";
import { ServerRoom } from "./pooled_server.ts";
import type {
  RoomBounds,
  ServicePaces,
  StreamTiming,
} from "./pooled_server.ts";

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

/** What a choice goes by, worked out once for all that wait. */
export type ServiceView = {
  paces: ServicePaces;
  /** Largest reading limit of the servers, in tokens. */
  largestLimit: number;
  /** Servers with a free place: under load few of many. */
  free: Map<string, ServerRoom>;
};

/** A granted ask and its server. */
export type Granted = { ask: GrantRequest; server: string };

/** Rooms by the start of the server. */
export class ServiceRooms {
  readonly #rooms = new Map<string, ServerRoom>();
  readonly #ejection = new OutlierEjection();
  readonly #first = new Pace();
  readonly #rest = new Pace();
  readonly #limits: ServerLimits;
  #parts: GroupFractions = { room: 1, quota: 1 };

  /** `limits`: what servers state; nothing if absent. */
  constructor(limits = new ServerLimits()) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#rooms.size;
  }

  /** Requests that all servers run at once. */
  get places(): number {
    let places = 0;
    for (const room of this.#rooms.values()) places += room.record.slots;
    return places;
  }

  /** Places where nothing runs, of servers that may be unreachable too. */
  get freePlaces(): number {
    let running = 0;
    for (const room of this.#rooms.values()) running += room.running;
    return Math.max(0, this.places - running);
  }

  /**
   * Those places that this group of entries can use. `runTime`: milliseconds of a
   * request.
   */
  ownPlaces(runTime: number): number {
    let places = 0;
    for (const [name, room] of this.#rooms) {
      places += room.places(this.#bounds(name), runTime);
    }
    return places;
  }

  has(server: string): boolean {
    return this.#rooms.has(server);
  }

  /** True when a server could run one more. */
  hasPlace(now: number): boolean {
    for (const [name, room] of this.#rooms) {
      if (room.hasPlace(this.#bounds(name), now)) return true;
    }
    return false;
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

  /** The parts of each server's room and limit that this group uses. */
  setParts(parts: GroupFractions): void {
    this.#parts = parts;
  }

  view(now: number): ServiceView {
    let largestLimit = 0;
    const free = new Map<string, ServerRoom>();
    for (const [name, room] of this.#rooms) {
      largestLimit = Math.max(largestLimit, room.readingLimit);
      if (room.hasPlace(this.#bounds(name), now)) free.set(name, room);
    }
    return { paces: this.#paces(now), largestLimit, free };
  }

  /** The server with room that is expected to be done soonest. */
  choose(
    ask: GrantRequest,
    view: ServiceView,
    now: number,
  ): string | undefined {
    const { paces } = view;
    let best: string | undefined;
    let bestScore = Infinity;
    for (const [name, room] of view.free) {
      if (ask.excludedServers.includes(name)) continue;
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

  started({ ask, server }: Granted, view: ServiceView, now: number): void {
    const room = this.#rooms.get(server);
    room?.started(ask);
    room?.countSend(now);
    const bounds = this.#bounds(server);
    if (!room?.hasPlace(bounds, now)) view.free.delete(server);
    this.#ejection.recordStart(server, now);
  }

  /** A run that another entry granted; false if its server is unknown. */
  adopted({ ask, server }: Granted): boolean {
    const room = this.#rooms.get(server);
    room?.started(ask);
    return room !== undefined;
  }

  /** The first answer came `measured` milliseconds after the request was sent. */
  firstAnswer({ ask, server }: Granted, measured: number, now: number): void {
    const room = this.#rooms.get(server);
    const cost = room?.firstAnswer(ask.id, measured, now);
    if (cost === undefined) return;
    const nominal = nominalFirst(cost);
    this.#first.observe(measured, nominal, now);
    this.#ejection.recordSuccess(server, now, measured / nominal);
  }

  /** All after the first token of an answer came; call it before `ended`. */
  restAnswered(
    { ask, server }: Granted,
    pace: StreamTiming,
    now: number,
  ): void {
    this.#rooms.get(server)?.restAnswered(ask.id, pace, now);
    const cost = { promptTokens: 1, outputTokens: pace.tokens };
    this.#rest.observe(pace.measured, nominalRest(cost), now);
  }

  /** The run is over, without a judgement of its server. */
  released({ ask, server }: Granted): void {
    this.#rooms.get(server)?.ended(ask.id);
  }

  /** The run is over; `end` tells of its server. */
  ended(granted: Granted, end: RunOutcome, now: number): void {
    const { ask, server } = granted;
    const room = this.#rooms.get(server);
    if (room === undefined) return;
    room.ended(ask.id);
    switch (end) {
      case "connection_refused":
        room.uncountSend();
        room.notThere(now);
        return;
      case "misdirected":
        room.notThere(now);
        return;
      case "connection_timeout":
        room.uncountSend();
        room.silentTo(ask.entry, now);
        return;
      case "failed":
      case "broken":
        this.#ejection.recordFailure(server, "error", now);
        return;
      default:
    }
  }

  /** An entry is gone, and with it its connections to servers. */
  forgetEntry(entry: string): void {
    for (const room of this.#rooms.values()) room.forgetEntry(entry);
  }

  /** Milliseconds to the ask's first answer at a server of middling speed. */
  expectedFirst(ask: GrantRequest, now: number): number {
    return this.#paces(now).first * nominalFirst(ask.cost);
  }

  /** Milliseconds for which the ask is expected to take a place. */
  expectedTime(ask: GrantRequest, now: number): number {
    const { first, rest } = this.#paces(now);
    return first * nominalFirst(ask.cost) + rest * nominalRest(ask.cost);
  }

  #bounds(server: string): RoomBounds {
    return { parts: this.#parts, limit: this.#limits.find(server) };
  }

  #paces(now: number): ServicePaces {
    return {
      first: this.#first.ratio(now, 1),
      rest: this.#rest.ratio(now, 1),
    };
  }
}
