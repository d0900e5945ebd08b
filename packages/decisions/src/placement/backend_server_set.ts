/**
 * Which sidecars an entry asks for a place: one set per service.
 *
 * Answers unlike engines, stale load reports, hot prefixes and a fleet too
 * large for a full mesh. A choice is only an offer, since the first grant
 * decides (late binding); it needs to be good on average and cheap. Without
 * the random draw every entry would ask the server that looked idle a second
 * ago; without the load's say a hot prefix would queue at one server while
 * others idle; without the distances requests would cross regions for nothing.
 *
 * Figures: 16 links per service in the own data centre, 8 to the region's
 * others and 4 to other regions, so 5 services keep about 140 links, whose
 * heartbeats fit 3 KB/s; a service of up to 16 sidecars is linked whole at each
 * distance. Twice as many candidates are drawn as are asked: the better of two
 * takes most of the gain of knowing all of them.
 * @module
 */
import { BackendServer } from "./backend_server.ts";
import type { ObservedLoad } from "./backend_server.ts";
import { distanceBetween, REACHES } from "./distance.ts";
import type { RegionOf } from "./distance.ts";
import { hashText } from "./hash_text.ts";
import type { HashText } from "./hash_text.ts";
import type { ChoiceOptions, SheddingVerdict } from "./choice.ts";
import { ServerGroup } from "./server_group.ts";

/** Up to this many sidecars of a service, an entry keeps links to all. */
export const FULL_MESH_LIMIT = 16;

const SUBSET_SIZES = [16, 8, 4] as const;

/** Candidates drawn for each one asked. */
const DRAWS_PER_CHOICE = 2;

/** Pressure added for each step of distance, as if that much fuller. */
const DISTANCE_PENALTY = 0.25;

/**
 * Pressure from which a prefix moves on to the next server of its ring. A
 * server at its limit with a quarter as many waiting makes the prefix wait
 * longer than a prefill elsewhere takes.
 */
const SPILL_PRESSURE = 1.25;

/**
 * Where all servers are full, a prefix stays until its server is this many
 * times as full as the mean. An absolute bound alone would give prefixes up
 * just when prefill is dearest: at twice the capacity 40 % of it was repeated.
 */
const SPILL_TIMES_MEAN = 2;

/** Milliseconds after which a server that called itself unhealthy is asked again. */
const UNHEALTHY_LAPSE = 5000;

/** Least and largest advice, milliseconds, on when to come back. */
const RETRY_AFTER_BOUNDS = { least: 1000, largest: 60_000 } as const;

export type { ChoiceOptions, SheddingVerdict } from "./choice.ts";

/** One service's backend servers, seen from one entry. */
export class BackendServerSet {
  readonly #entry: string;
  readonly #dataCentre: string;
  readonly #regionOf: RegionOf;
  readonly #hash: HashText;
  readonly #allowed: (name: string, now: number) => boolean;
  readonly #known = new Map<string, BackendServer>();
  /** Names in the groups: neither leaving nor known to be unhealthy. */
  readonly #eligible = new Set<string>();
  readonly #leaving = new Set<string>();
  readonly #groups = new Map<string | undefined, ServerGroup>();

  constructor(
    options: {
      /** Own instance name: entries of unlike names keep unlike subsets. */
      entry: string;
      dataCentre: string;
      /** All data centres are one region when absent. */
      regionOf?: RegionOf | undefined;
      hash?: HashText | undefined;
      /** Ejection's say. */
      allowed?: ((name: string, now: number) => boolean) | undefined;
    },
  ) {
    this.#entry = options.entry;
    this.#dataCentre = options.dataCentre;
    this.#regionOf = options.regionOf ?? (() => "");
    this.#hash = options.hash ?? hashText;
    this.#allowed = options.allowed ?? (() => true);
  }

  /**
   * Adds a listed server; a name that is already known keeps its state, but a
   * server that was unhealthy is offered again once it has said nothing for a
   * while: its link may have closed before it could say that it recovered.
   */
  add(
    server: { name: string; dataCentre: string; version?: string | undefined },
    now: number,
  ): void {
    const known = this.#known.get(server.name);
    if (known !== undefined) {
      if (now - known.loadAt >= UNHEALTHY_LAPSE) this.#include(known);
      return;
    }
    const added = new BackendServer({
      name: server.name,
      version: server.version,
      distance: distanceBetween(
        this.#dataCentre,
        server.dataCentre,
        this.#regionOf,
      ),
      affinity: this.#hash(`${this.#entry}\0${server.name}`),
    });
    this.#known.set(added.name, added);
    this.#include(added);
  }

  /** Forgets the server; the name may be added again by a new instance. */
  remove(name: string): void {
    const server = this.#known.get(name);
    if (server === undefined) return;
    this.#leave(server);
    this.#known.delete(name);
    this.#leaving.delete(name);
  }

  /**
   * Takes a server out of every later choice. Stays in force until `remove`:
   * the instance list lags and would offer the server again for seconds.
   */
  markLeaving(name: string): void {
    this.#leaving.add(name);
    const server = this.#known.get(name);
    if (server !== undefined) this.#leave(server);
  }

  /** Takes in what the server's own sidecar just said. */
  observeLoad(name: string, load: ObservedLoad, now: number): void {
    const server = this.#known.get(name);
    if (server === undefined) return;
    server.load = load;
    server.loadAt = now;
    if (load.healthy) this.#include(server);
    else this.#leave(server);
  }

  /** Servers known and not leaving or unhealthy. */
  get count(): number {
    return this.#eligible.size;
  }

  /** Names to keep links to; links to others are opened on demand. */
  namesToLink(): Set<string> {
    const names = new Set<string>();
    for (const group of this.#groups.values()) {
      for (const subset of group.subsets) {
        for (const server of subset.kept) names.add(server.name);
      }
    }
    return names;
  }

  /** Distinct names of sidecars to reserve with, at most `count`. */
  choose(options: ChoiceOptions): string[] {
    const group = this.#groups.get(options.version);
    if (group === undefined || options.count <= 0) return [];
    const chosen = this.#preferred(group, options);
    if (chosen.length < options.count) this.#fill(group, options, chosen);
    return chosen.map((server) => server.name);
  }

  /**
   * Refuses a tier early only when every linked server of the nearest region
   * that has any said, first-hand and fresh, that it would refuse it. A server
   * that is silent may have room; refusing on a guess could shed a tier that a
   * lower one outlasts.
   */
  shedsTier(
    tierRank: number,
    now: number,
    version?: string,
  ): SheddingVerdict {
    const group = this.#groups.get(version);
    if (group === undefined) return { sheds: false };
    const [own, region, other] = group.subsets;
    const near = [...own.kept, ...region.kept];
    const candidates = near.length > 0 ? near : other.kept;
    let soonest = Infinity;
    for (const server of candidates) {
      if (!this.#allowed(server.name, now)) continue;
      if (!server.sheds(tierRank, now)) return { sheds: false };
      soonest = Math.min(soonest, server.load?.expectedWait ?? Infinity);
    }
    if (soonest === Infinity) return { sheds: false };
    const { least, largest } = RETRY_AFTER_BOUNDS;
    return {
      sheds: true,
      retryAfter: Math.min(Math.max(soonest, least), largest),
    };
  }

  /**
   * The servers that follow the prefix on its ring and are not too full, so
   * that all of its reservations, and not the first alone, keep to few caches.
   */
  #preferred(group: ServerGroup, options: ChoiceOptions): BackendServer[] {
    const chosen: BackendServer[] = [];
    if (options.prefixKey === undefined) return chosen;
    const { tierRank, now, exclude } = options;
    const spill = spillPressure(group, tierRank, now);
    group.ring.walk(options.prefixKey, (server) => {
      if (chosen.includes(server) || exclude.has(server.name)) return "go on";
      if (!this.#allowed(server.name, now)) return "go on";
      if (server.pressure(tierRank, now) >= spill) return "go on";
      chosen.push(server);
      return chosen.length >= options.count ? "stop" : "go on";
    });
    return chosen;
  }

  /** Adds the better of the servers drawn, from the nearest distance outwards. */
  #fill(
    group: ServerGroup,
    options: ChoiceOptions,
    chosen: BackendServer[],
  ): void {
    const { tierRank, now, random } = options;
    const missing = options.count - chosen.length;
    const accept = (server: BackendServer) =>
      !options.exclude.has(server.name) && !chosen.includes(server) &&
      this.#allowed(server.name, now);
    const cost = (server: BackendServer) =>
      server.pressure(tierRank, now) + server.distance * DISTANCE_PENALTY;
    const reach = REACHES.indexOf(options.reach ?? "region");
    const found: BackendServer[] = [];
    let withRoom = 0;
    for (const [distance, subset] of group.subsets.entries()) {
      if (distance > reach && found.length + chosen.length > 0) break;
      const before = found.length;
      const wanted = missing * DRAWS_PER_CHOICE;
      subset.draw({ wanted, accept, random, found });
      for (const server of found.slice(before)) {
        if (server.pressure(tierRank, now) < 1) withRoom++;
      }
      if (withRoom >= missing) break;
    }
    found.sort((left, right) => cost(left) - cost(right));
    chosen.push(...found.slice(0, missing));
  }

  #include(server: BackendServer): void {
    if (this.#leaving.has(server.name)) return;
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

  #leave(server: BackendServer): void {
    if (!this.#eligible.delete(server.name)) return;
    for (const key of groupKeys(server)) {
      const group = this.#groups.get(key);
      group?.delete(server);
      if (group?.count === 0) this.#groups.delete(key);
    }
  }
}

/** Looks at the kept servers only, whose number does not grow with the fleet. */
function spillPressure(
  group: ServerGroup,
  tierRank: number,
  now: number,
): number {
  let sum = 0;
  let count = 0;
  for (const { kept } of group.subsets.slice(0, 2)) {
    for (const server of kept) sum += server.pressure(tierRank, now);
    count += kept.length;
  }
  return count === 0
    ? SPILL_PRESSURE
    : Math.max(SPILL_PRESSURE, SPILL_TIMES_MEAN * sum / count);
}

/** The group of all servers and, where it has one, that of its version. */
function groupKeys(server: BackendServer): (string | undefined)[] {
  return server.version === undefined
    ? [undefined]
    : [undefined, server.version];
}
