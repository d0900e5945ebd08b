/**
 * Prevents the starvation of the least urgent routes of a tier while slots are
 * scarce.
 *
 * Among the routes of one tier the more urgent ones come first, and as long as
 * these alone exceed capacity, the last route is not served at all. Therefore
 * each route is guaranteed a minimum share of the grants of its tier. Tiers
 * have no such guarantee: a higher tier is never refused before a lower one.
 * @module
 */
import { GuaranteedShare } from "./guaranteed_share.ts";

/**
 * Minimum share of grants of a route, as a fraction of its share of requests.
 */
const GUARANTEED_FRACTION = 0.5;
/** Number of requests of a tier in which the counts decay to 1/e. */
const DECAY_REQUESTS = 300;
/** Factor by which each request of a tier reduces the counts. */
const DECAY_FACTOR = Math.exp(-1 / DECAY_REQUESTS);

type RouteGrants = { requests: number; share: GuaranteedShare };

/** Requests and grants of the routes of one tier. */
class TierGrants {
  readonly #routes = new Map<number, RouteGrants>();

  recordRequest(routeRank: number): void {
    const route = this.#routes.get(routeRank) ??
      { requests: 0, share: new GuaranteedShare(0) };
    this.#routes.set(routeRank, route);
    let total = 0;
    for (const each of this.#routes.values()) {
      each.requests *= DECAY_FACTOR;
      if (each === route) each.requests++;
      total += each.requests;
    }
    for (const { requests, share } of this.#routes.values()) {
      share.perGrant = GUARANTEED_FRACTION * requests / total;
    }
  }

  useUpTolerance(): void {
    for (const { share } of this.#routes.values()) share.useUpTolerance();
  }

  recordGrant(routeRank: number): void {
    for (const [rank, { share }] of this.#routes) {
      share.recordGrant(rank === routeRank);
    }
  }

  owedRoutes(): number[] {
    const owed: [number, RouteGrants][] = [];
    for (const route of this.#routes) {
      if (route[1].share.excess > 0) owed.push(route);
    }
    return owed
      .sort(([, one], [, other]) => other.share.excess - one.share.excess)
      .map(([routeRank]) => routeRank);
  }
}

/** Tier and route rank of a request. */
export type RequestRank = { tierRank: number; routeRank: number };

/** Determines which routes of a tier are owed a grant. */
export class RouteFairness {
  readonly #tiers = new Map<number, TierGrants>();

  /**
   * Counts a request. If it `hasWaited` for a grant of another entry, there is
   * an overload that began there, so no further deficit is tolerated.
   */
  recordRequest(
    { tierRank, routeRank }: RequestRank,
    hasWaited: boolean,
  ): void {
    const tier = this.#tiers.get(tierRank) ?? new TierGrants();
    this.#tiers.set(tierRank, tier);
    tier.recordRequest(routeRank);
    if (hasWaited) tier.useUpTolerance();
  }

  recordGrant({ tierRank, routeRank }: RequestRank): void {
    this.#tiers.get(tierRank)?.recordGrant(routeRank);
  }

  /** Ranks of the routes of a tier that are owed a grant, most owed first. */
  owedRoutes(tierRank: number): number[] {
    return this.#tiers.get(tierRank)?.owedRoutes() ?? [];
  }
}
