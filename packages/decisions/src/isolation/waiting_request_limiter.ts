/**
 * Bounds what each service's waiting requests hold at an entry.
 *
 * Answers a service whose requests pile up, by their number or by the size of
 * their bodies. Without it they fill the entry's memory and every other
 * service fails with it. Each service has its own bounds and nothing is shared,
 * so a full service cannot be the reason for another's refusal. Within the
 * service a higher tier is never refused while a lower one waits: the lowest
 * tier's newest request makes way.
 *
 * The figures are the service's own, from its configuration.
 * @module
 */
import * as Result from "true-myth/result";

/** What one service's waiting requests may hold. */
export type WaitingBounds = { requests: number; bytes: number };

/** Why a request may not wait. */
export type WaitingRefusal = {
  step: "admit";
  peer: string;
  reason: "too_many_waiting" | "too_many_bytes" | "body_too_large";
};

/** Gives the place back; further calls do nothing. */
export type Release = () => void;

/** A request that asks to wait. */
export type WaitingRequest = {
  service: string;
  bytes: number;
  /** 0 is served first. */
  tierRank: number;
  /** Called when the request makes way for a higher tier. */
  onEvicted: () => void;
};

type Place = WaitingRequest & { held: boolean };

type Usage = {
  requests: number;
  bytes: number;
  /** Per tier, oldest first; places given back stay until cleared out. */
  tiers: Map<number, Place[]>;
};

/** Lists are cleared of places given back once they are this long. */
const LEAST_CLEARED = 32;

/** Every service's waiting requests at one entry. */
export class WaitingRequestLimiter {
  readonly #boundsOf: (service: string) => WaitingBounds;
  readonly #usages = new Map<string, Usage>();

  constructor(boundsOf: (service: string) => WaitingBounds) {
    this.#boundsOf = boundsOf;
  }

  /** Holds a place until it is released, or says why there is none. */
  admit(
    request: WaitingRequest,
  ): Result.Result<Release, WaitingRefusal> {
    const bounds = this.#boundsOf(request.service);
    const usage = this.#usageOf(request.service);
    const reason = this.#makeRoom(request, usage, bounds);
    if (reason !== undefined) {
      return Result.err({ step: "admit", peer: request.service, reason });
    }
    const place: Place = { ...request, held: true };
    usage.requests++;
    usage.bytes += place.bytes;
    const list = usage.tiers.get(place.tierRank) ?? [];
    usage.tiers.set(place.tierRank, list);
    if (list.length >= LEAST_CLEARED && list.length > 2 * usage.requests) {
      clearReleased(list);
    }
    list.push(place);
    return Result.ok(() => this.#release(place, usage));
  }

  /** Requests and bytes that the service's waiting requests hold. */
  usageOf(service: string): WaitingBounds {
    const usage = this.#usages.get(service);
    return { requests: usage?.requests ?? 0, bytes: usage?.bytes ?? 0 };
  }

  #makeRoom(
    request: WaitingRequest,
    usage: Usage,
    bounds: WaitingBounds,
  ): WaitingRefusal["reason"] | undefined {
    if (request.bytes > bounds.bytes) return "body_too_large";
    const crowded = () =>
      usage.requests >= bounds.requests ||
      usage.bytes + request.bytes > bounds.bytes;
    if (!crowded()) return undefined;
    const victims = this.#victims(request, usage, bounds);
    if (victims === undefined) {
      return usage.requests >= bounds.requests
        ? "too_many_waiting"
        : "too_many_bytes";
    }
    for (const victim of victims) {
      this.#release(victim, usage);
      victim.onEvicted();
    }
    return undefined;
  }

  /** Lowest tiers' newest first; undefined when they would not suffice. */
  #victims(
    request: WaitingRequest,
    usage: Usage,
    bounds: WaitingBounds,
  ): Place[] | undefined {
    const victims: Place[] = [];
    let requests = usage.requests + 1 - bounds.requests;
    let bytes = usage.bytes + request.bytes - bounds.bytes;
    const lower = [...usage.tiers.keys()]
      .filter((rank) => rank > request.tierRank)
      .sort((left, right) => right - left);
    for (const rank of lower) {
      const list = usage.tiers.get(rank)!;
      for (let index = list.length - 1; index >= 0; index--) {
        if (requests <= 0 && bytes <= 0) return victims;
        const place = list[index]!;
        if (!place.held) continue;
        victims.push(place);
        requests--;
        bytes -= place.bytes;
      }
    }
    return requests <= 0 && bytes <= 0 ? victims : undefined;
  }

  #release(place: Place, usage: Usage): void {
    if (!place.held) return;
    place.held = false;
    usage.requests--;
    usage.bytes -= place.bytes;
    const list = usage.tiers.get(place.tierRank)!;
    while (list.at(-1)?.held === false) list.pop();
    if (usage.requests === 0) usage.tiers.clear();
  }

  #usageOf(service: string): Usage {
    let usage = this.#usages.get(service);
    if (usage === undefined) {
      usage = { requests: 0, bytes: 0, tiers: new Map() };
      this.#usages.set(service, usage);
    }
    return usage;
  }
}

function clearReleased(list: Place[]): void {
  const held = list.filter((place) => place.held);
  list.length = 0;
  list.push(...held);
}
