/**
 * Chooses the sidecars that an entry sends reservations to. There is one set
 * per service.
 *
 * Load pattern: engines of different speed, stale load reports, hot prefixes,
 * and a fleet too large for a full mesh. The first grant decides where a
 * request runs (late binding), so a choice has to be cheap, and good only on
 * average. Without random candidates, every entry would choose the server that
 * looked idle a second ago; without load reports, requests with a hot prefix
 * would queue at one server while others are idle; without distances, requests
 * would cross regions needlessly.
 *
 * An entry keeps 16 links per service in its own data centre, 8 to the rest of
 * the region and 4 to other regions. For 5 services these are about 140 links,
 * whose heartbeats fit into 3 KB/s. A service with up to 16 sidecars in the
 * entry's data centre is fully linked there. Twice as many candidates are drawn
 * as are chosen: the better of two gives most of the benefit of comparing all
 * of them.
 * @module
 */
import { BackendServer } from "./backend_server.ts";
import type { ObservedLoad } from "./backend_server.ts";
import { distanceBetween, REACHES } from "./distance.ts";
import type { RegionOf } from "./distance.ts";
import { hashText } from "./hash_text.ts";
import type { HashText } from "./hash_text.ts";
import type { ChoiceOptions, SheddingDecision } from "./choice.ts";
import { ServerGroup } from "./server_group.ts";

/**
 * Up to this number of sidecars of a service in its own data centre, an entry
 * keeps links to all of them.
 */
export const FULL_MESH_LIMIT = 16;

/** Number of links for each {@link Distance}. */
const SUBSET_SIZES = [16, 8, 4] as const;

/** Candidates drawn for each server chosen. */
const CANDIDATES_PER_CHOICE = 2;

/** Load ratio added for each step of distance. */
const DISTANCE_PENALTY = 0.25;

/**
 * Load ratio from which a prefix spills over to the next server on the hash
 * ring. At a server that is full and has a quarter as many requests waiting, a
 * request waits longer than a prefill elsewhere takes.
 */
const SPILL_LOAD_RATIO = 1.25;

/**
 * When all servers are full, a prefix spills over only from a server with this
 * many times the mean load ratio. With an absolute threshold alone, prefixes
 * would leave their servers just when prefill is most expensive: at a load of
 * twice the capacity, 40 % of it would be repeated.
 */
const SPILL_MEAN_FACTOR = 2;

/**
 * Milliseconds without a report after which a server that reported itself
 * unhealthy is offered again.
 */
const UNHEALTHY_TIMEOUT = 5000;

/** Minimum and maximum of `retryAfter`, in milliseconds. */
const RETRY_AFTER_BOUNDS = { min: 1000, max: 60_000 } as const;

export type { ChoiceOptions, SheddingDecision } from "./choice.ts";

/** The backend servers of one service as known to one entry. */
export class BackendServerSet {
  readonly #entry: string;
  readonly #dataCentre: string;
  readonly #regionOf: RegionOf;
  readonly #hash: HashText;
  readonly #isAllowed: (name: string, now: number) => boolean;
  readonly #isEvacuated: (dataCentre: string) => boolean;
  readonly #servers = new Map<string, BackendServer>();
  /**
   * Names of the servers that may be chosen: neither draining nor reported
   * unhealthy.
   */
  readonly #eligible = new Set<string>();
  readonly #draining = new Set<string>();
  readonly #groups = new Map<string | undefined, ServerGroup>();

  constructor(
    options: {
      /**
       * Instance name of the entry; entries with different names keep different
       * subsets.
       */
      entry: string;
      dataCentre: string;
      /** Maps data centres to regions; all are in one region if absent. */
      regionOf?: RegionOf | undefined;
      hash?: HashText | undefined;
      /** Whether a server may be chosen; `false` while it is ejected. */
      allowed?: ((name: string, now: number) => boolean) | undefined;
      /** Whether a data centre is evacuated; by default none is. */
      isEvacuated?: ((dataCentre: string) => boolean) | undefined;
    },
  ) {
    this.#entry = options.entry;
    this.#dataCentre = options.dataCentre;
    this.#regionOf = options.regionOf ?? (() => "");
    this.#hash = options.hash ?? hashText;
    this.#isAllowed = options.allowed ?? (() => true);
    this.#isEvacuated = options.isEvacuated ?? (() => false);
  }

  /**
   * Adds a server from the instance list. A known server keeps its state, but
   * one that reported itself unhealthy is offered again if it has sent no
   * report for a while, because its link may have closed before it could report
   * that it recovered.
   */
  add(
    server: { name: string; dataCentre: string; version?: string | undefined },
    now: number,
  ): void {
    const known = this.#servers.get(server.name);
    if (known !== undefined) {
      if (now - known.loadReportedAt >= UNHEALTHY_TIMEOUT) {
        this.#makeEligible(known);
      }
      return;
    }
    const added = new BackendServer({
      name: server.name,
      version: server.version,
      dataCentre: server.dataCentre,
      distance: distanceBetween(
        this.#dataCentre,
        server.dataCentre,
        this.#regionOf,
      ),
      rendezvousHash: this.#hash(`${this.#entry}\0${server.name}`),
    });
    this.#servers.set(added.name, added);
    this.#makeEligible(added);
  }

  /** Removes the server; its name may be added again by a new instance. */
  remove(name: string): void {
    const server = this.#servers.get(name);
    if (server === undefined) return;
    this.#makeIneligible(server);
    this.#servers.delete(name);
    this.#draining.delete(name);
  }

  /**
   * Excludes a draining server from all later choices until it is removed. The
   * instance list lags and would offer the server again for seconds.
   */
  markDraining(name: string): void {
    this.#draining.add(name);
    const server = this.#servers.get(name);
    if (server !== undefined) this.#makeIneligible(server);
  }

  /** Whether the server is in an evacuated data centre. */
  isEvacuated(name: string): boolean {
    const server = this.#servers.get(name);
    return server !== undefined && this.#isEvacuated(server.dataCentre);
  }

  /** Stores a load report from the server's own sidecar. */
  observeLoad(name: string, load: ObservedLoad, now: number): void {
    const server = this.#servers.get(name);
    if (server === undefined) return;
    server.load = load;
    server.loadReportedAt = now;
    if (load.healthy) this.#makeEligible(server);
    else this.#makeIneligible(server);
  }

  /** Number of servers that may be chosen. */
  get count(): number {
    return this.#eligible.size;
  }

  /**
   * Names of the servers to keep links to; links to other servers are opened on
   * demand.
   */
  namesToLink(): Set<string> {
    const names = new Set<string>();
    for (const group of this.#groups.values()) {
      for (const subset of group.subsets) {
        for (const server of subset.linked) names.add(server.name);
      }
    }
    return names;
  }

  /**
   * Returns the distinct names of at most `count` sidecars to send reservations
   * to.
   */
  choose(options: ChoiceOptions): string[] {
    const group = this.#groups.get(options.version);
    if (group === undefined || options.count <= 0) return [];
    const chosen = this.#chooseByPrefix(group, options);
    if (chosen.length < options.count) this.#addByLoad(group, options, chosen);
    return chosen.map((server) => server.name);
  }

  /**
   * Decides whether a tier is shed before any reservation is sent. This is the
   * case only if all linked servers in the entry's region, or in other regions
   * if the region has none, have recently reported that they would refuse the
   * tier. A server without a recent report may have capacity; shedding on a
   * guess could refuse a tier while a lower one is still served.
   */
  shedsTier(
    tierRank: number,
    now: number,
    version?: string,
  ): SheddingDecision {
    const group = this.#groups.get(version);
    if (group === undefined) return { sheds: false };
    const [own, region, other] = group.subsets;
    const near = [...own.linked, ...region.linked];
    const candidates = near.length > 0 ? near : other.linked;
    let soonest = Infinity;
    for (const server of candidates) {
      if (!this.#mayChoose(server, now)) continue;
      if (!server.sheds(tierRank, now)) return { sheds: false };
      soonest = Math.min(soonest, server.load?.expectedWait ?? Infinity);
    }
    if (soonest === Infinity) return { sheds: false };
    const { min, max } = RETRY_AFTER_BOUNDS;
    return {
      sheds: true,
      retryAfter: Math.min(Math.max(soonest, min), max),
    };
  }

  /**
   * Returns the servers that follow the prefix on the hash ring and are not too
   * full. All reservations of a request use them, not only the first, so that a
   * prefix is kept in few caches.
   */
  #chooseByPrefix(group: ServerGroup, options: ChoiceOptions): BackendServer[] {
    const chosen: BackendServer[] = [];
    if (options.prefixKey === undefined) return chosen;
    const { tierRank, now, exclude } = options;
    const spillRatio = spillLoadRatio(group, tierRank, now);
    group.ring.walk(options.prefixKey, (server) => {
      if (chosen.includes(server) || exclude.has(server.name)) {
        return "continue";
      }
      if (!this.#mayChoose(server, now)) return "continue";
      if (server.loadRatio(tierRank, now) >= spillRatio) return "continue";
      chosen.push(server);
      return chosen.length >= options.count ? "stop" : "continue";
    });
    return chosen;
  }

  /**
   * Adds the least loaded of the servers drawn, starting with the nearest
   * distance.
   */
  #addByLoad(
    group: ServerGroup,
    options: ChoiceOptions,
    chosen: BackendServer[],
  ): void {
    const { tierRank, now, random } = options;
    const missing = options.count - chosen.length;
    const accept = (server: BackendServer) =>
      !options.exclude.has(server.name) && !chosen.includes(server) &&
      this.#mayChoose(server, now);
    const cost = (server: BackendServer) =>
      server.loadRatio(tierRank, now) + server.distance * DISTANCE_PENALTY;
    const reach = REACHES.indexOf(options.reach ?? "region");
    const found: BackendServer[] = [];
    let withFreeSlots = 0;
    for (const [distance, subset] of group.subsets.entries()) {
      if (distance > reach && found.length + chosen.length > 0) break;
      const before = found.length;
      const wanted = missing * CANDIDATES_PER_CHOICE;
      subset.draw({ wanted, accept, random, found });
      for (const server of found.slice(before)) {
        if (server.loadRatio(tierRank, now) < 1) withFreeSlots++;
      }
      if (withFreeSlots >= missing) break;
    }
    found.sort((left, right) => cost(left) - cost(right));
    chosen.push(...found.slice(0, missing));
  }

  #mayChoose({ name, dataCentre }: BackendServer, now: number): boolean {
    return !this.#isEvacuated(dataCentre) && this.#isAllowed(name, now);
  }

  #makeEligible(server: BackendServer): void {
    if (this.#draining.has(server.name)) return;
    if (this.#eligible.has(server.name)) return;
    this.#eligible.add(server.name);
    for (const key of groupKeys(server)) {
      let group = this.#groups.get(key);
      if (group === undefined) {
        group = new ServerGroup({ sizes: SUBSET_SIZES, hash: this.#hash });
        this.#groups.set(key, group);
      }
      group.add(server);
    }
  }

  #makeIneligible(server: BackendServer): void {
    if (!this.#eligible.delete(server.name)) return;
    for (const key of groupKeys(server)) {
      const group = this.#groups.get(key);
      group?.delete(server);
      if (group?.count === 0) this.#groups.delete(key);
    }
  }
}

/**
 * Averages over the linked servers only, whose number does not grow with the
 * fleet.
 */
function spillLoadRatio(
  group: ServerGroup,
  tierRank: number,
  now: number,
): number {
  let sum = 0;
  let count = 0;
  for (const { linked } of group.subsets.slice(0, 2)) {
    for (const server of linked) sum += server.loadRatio(tierRank, now);
    count += linked.length;
  }
  return count === 0
    ? SPILL_LOAD_RATIO
    : Math.max(SPILL_LOAD_RATIO, SPILL_MEAN_FACTOR * sum / count);
}

/**
 * Keys of the group of all servers and of the group of the server's version, if
 * it has one.
 */
function groupKeys(server: BackendServer): (string | undefined)[] {
  return server.version === undefined
    ? [undefined]
    : [undefined, server.version];
}
