/**
 * Limits the waiting requests of each service at an entry, by number and by
 * size.
 *
 * Load pattern: the requests of one service pile up, by their number or by the
 * size of their bodies. Without limits they fill the entry's memory, and every
 * other service fails as well. Each service has its own bounds from its
 * configuration and nothing is shared, so a full service never causes refusals
 * of another. Within a service, a higher tier is never refused while a lower
 * one waits: the newest request of the lowest tier is evicted.
 * @module
 */
import * as Result from "true-myth/result";

/**
 * Bounds on the waiting requests of one service, or their current number and
 * size.
 */
export type WaitingBounds = { requests: number; bytes: number };

/** Why a request was refused. */
export type WaitingRefusal = {
  step: "admit";
  peer: string;
  reason: "too_many_waiting" | "too_many_bytes" | "body_too_large";
};

/** Releases the request's share of the bounds; further calls have no effect. */
export type Release = () => void;

/** A request to be admitted to wait. */
export type WaitingRequest = {
  service: string;
  bytes: number;
  /** Rank of the tier; 0 is served first. */
  tierRank: number;
  /** Called when the request is evicted in favour of a higher tier. */
  onEvicted: () => void;
};

type AdmittedRequest = WaitingRequest & { held: boolean };

type Usage = {
  requests: number;
  bytes: number;
  /**
   * Requests by tier, oldest first. Released ones stay in the list until it is
   * cleaned up.
   */
  tiers: Map<number, AdmittedRequest[]>;
};

/** Minimum length of a list that is cleaned up. */
const MIN_CLEANUP_LENGTH = 32;

/** Limits the waiting requests of all services at one entry. */
export class WaitingRequestLimiter {
  readonly #boundsOf: (service: string) => WaitingBounds;
  readonly #usages = new Map<string, Usage>();

  constructor(boundsOf: (service: string) => WaitingBounds) {
    this.#boundsOf = boundsOf;
  }

  /**
   * Admits a request until it is released, or returns the reason for its
   * refusal.
   */
  admit(
    request: WaitingRequest,
  ): Result.Result<Release, WaitingRefusal> {
    const bounds = this.#boundsOf(request.service);
    const usage = this.#getOrCreateUsage(request.service);
    const reason = this.#ensureCapacity(request, usage, bounds);
    if (reason !== undefined) {
      return Result.err({ step: "admit", peer: request.service, reason });
    }
    const admitted: AdmittedRequest = { ...request, held: true };
    usage.requests++;
    usage.bytes += admitted.bytes;
    const list = usage.tiers.get(admitted.tierRank) ?? [];
    usage.tiers.set(admitted.tierRank, list);
    if (list.length >= MIN_CLEANUP_LENGTH && list.length > 2 * usage.requests) {
      removeReleased(list);
    }
    list.push(admitted);
    return Result.ok(() => this.#release(admitted, usage));
  }

  /** Returns the number and total bytes of the service's waiting requests. */
  usageOf(service: string): WaitingBounds {
    const usage = this.#usages.get(service);
    return { requests: usage?.requests ?? 0, bytes: usage?.bytes ?? 0 };
  }

  #ensureCapacity(
    request: WaitingRequest,
    usage: Usage,
    bounds: WaitingBounds,
  ): WaitingRefusal["reason"] | undefined {
    if (request.bytes > bounds.bytes) return "body_too_large";
    const overBounds = () =>
      usage.requests >= bounds.requests ||
      usage.bytes + request.bytes > bounds.bytes;
    if (!overBounds()) return undefined;
    const victims = this.#selectVictims(request, usage, bounds);
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

  /**
   * Returns the requests to evict, newest of the lowest tier first, or
   * `undefined` if evicting all lower tiers would not be enough.
   */
  #selectVictims(
    request: WaitingRequest,
    usage: Usage,
    bounds: WaitingBounds,
  ): AdmittedRequest[] | undefined {
    const victims: AdmittedRequest[] = [];
    let requests = usage.requests + 1 - bounds.requests;
    let bytes = usage.bytes + request.bytes - bounds.bytes;
    const lower = [...usage.tiers.keys()]
      .filter((rank) => rank > request.tierRank)
      .sort((left, right) => right - left);
    for (const rank of lower) {
      const list = usage.tiers.get(rank)!;
      for (let index = list.length - 1; index >= 0; index--) {
        if (requests <= 0 && bytes <= 0) return victims;
        const admitted = list[index]!;
        if (!admitted.held) continue;
        victims.push(admitted);
        requests--;
        bytes -= admitted.bytes;
      }
    }
    return requests <= 0 && bytes <= 0 ? victims : undefined;
  }

  #release(admitted: AdmittedRequest, usage: Usage): void {
    if (!admitted.held) return;
    admitted.held = false;
    usage.requests--;
    usage.bytes -= admitted.bytes;
    const list = usage.tiers.get(admitted.tierRank)!;
    while (list.at(-1)?.held === false) list.pop();
    if (usage.requests === 0) usage.tiers.clear();
  }

  #getOrCreateUsage(service: string): Usage {
    let usage = this.#usages.get(service);
    if (usage === undefined) {
      usage = { requests: 0, bytes: 0, tiers: new Map() };
      this.#usages.set(service, usage);
    }
    return usage;
  }
}

function removeReleased(list: AdmittedRequest[]): void {
  const held = list.filter((request) => request.held);
  list.length = 0;
  list.push(...held);
}
