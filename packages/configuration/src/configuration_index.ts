/**
 * Index of the configuration objects for the lookups of every request.
 * @module
 */
import { createHash } from "node:crypto";
import { Result } from "true-myth/result";
import type {
  ConfigurationObjects,
  Move,
  Organisation,
  Route,
  Service,
  Tier,
  Version,
} from "./objects.ts";

/** Methods without effect on the server, so that a retry is harmless. */
const SAFE_METHODS = new Set(["GET", "HEAD"]);

/** The settings that apply to a call of a service. */
export type MatchedRoute = {
  /** The configured path that matched; a bounded set, unlike callers' paths. */
  route: string;
  idempotent: boolean;
  tier: string;
};

/** Why a request can't have the tier that it requests. */
export type TierRefusalReason = "unknown_tier" | "tier_not_allowed";

/** Lookup tables over one snapshot's objects, built once for each snapshot. */
export class ConfigurationIndex {
  readonly objects: ConfigurationObjects;
  readonly #services: Map<string, Service>;
  readonly #tiers: Map<string, Tier>;
  readonly #organisations: Map<string, Organisation>;
  readonly #models = new Map<string, Service>();
  readonly #credentials = new Map<string, Organisation>();
  readonly #evacuated: ReadonlySet<string>;

  constructor(objects: ConfigurationObjects) {
    this.objects = objects;
    this.#services = byName(objects.services);
    this.#evacuated = new Set(objects.evacuations.map(({ name }) => name));
    this.#tiers = byName(objects.tiers);
    this.#organisations = byName(objects.organisations);
    for (const service of objects.services) {
      service.models.forEach((model) => this.#models.set(model, service));
    }
    for (const organisation of objects.organisations) {
      organisation.credentials.forEach((hash) =>
        this.#credentials.set(hash, organisation)
      );
    }
  }

  /** Whether nothing may be sent to the backend servers of a data centre. */
  isEvacuated(dataCentre: string): boolean {
    return this.#evacuated.has(dataCentre);
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  tier(name: string): Tier | undefined {
    return this.#tiers.get(name);
  }

  organisation(name: string): Organisation | undefined {
    return this.#organisations.get(name);
  }

  /** The service that the `model` of a chat completion request selects. */
  serviceOfModel(model: string): Service | undefined {
    return this.#models.get(model);
  }

  /** The organisation that a bearer token was issued to. */
  organisationOfToken(token: string): Organisation | undefined {
    const hash = createHash("sha256").update(token).digest("hex");
    return this.#credentials.get(hash);
  }

  /**
   * Settings of the longest route that matches; an exact path takes precedence
   * over a prefix. A call without a matching route counts as idempotent only if
   * its method is safe. `path` has no query string.
   */
  matchRoute(service: Service, method: string, path: string): MatchedRoute {
    if (service.kind === "model") {
      const tier = service.defaultTier;
      return { route: "chat/completions", idempotent: true, tier };
    }
    const route = longestMatch(service.routes, method, path);
    return {
      route: route?.path ?? "*",
      idempotent: route?.idempotent ?? SAFE_METHODS.has(method),
      tier: route?.tier ?? service.defaultTier,
    };
  }

  /**
   * The tier that a request is served in. The default tier of its route or
   * service is always allowed; any other must be among the tiers of its
   * organisation.
   */
  resolveTier(
    options: {
      organisation: Organisation;
      defaultTier: string;
      requestedTier?: string;
    },
  ): Result<Tier, TierRefusalReason> {
    const { organisation, defaultTier, requestedTier = defaultTier } = options;
    const tier = this.#tiers.get(requestedTier);
    if (tier === undefined) {
      return Result.err("unknown_tier");
    }
    return requestedTier === defaultTier ||
        organisation.tiers.includes(requestedTier)
      ? Result.ok(tier)
      : Result.err("tier_not_allowed");
  }

  /**
   * The version that gets the service's traffic, except for what a move shifts.
   */
  liveVersion(service: string): Version | undefined {
    return this.objects.versions.find((version) =>
      version.service === service && version.live
    );
  }

  /**
   * The service's move whose deadline is after `now` (milliseconds since 1970).
   */
  unfinishedMove(service: string, now: number): Move | undefined {
    return this.objects.moves.find((move) =>
      move.service === service && Date.parse(move.deadline) > now
    );
  }
}

function byName<Named extends { name: string }>(
  objects: Named[],
): Map<string, Named> {
  return new Map(objects.map((object) => [object.name, object]));
}

function longestMatch(
  routes: Route[],
  method: string,
  path: string,
): Route | undefined {
  let longest: Route | undefined;
  for (const route of routes) {
    if (route.method !== method || !matches(route.path, path)) {
      continue;
    }
    if (route.path === path) {
      return route;
    }
    if (longest === undefined || route.path.length > longest.path.length) {
      longest = route;
    }
  }
  return longest;
}

function matches(pattern: string, path: string): boolean {
  return pattern.endsWith("*")
    ? path.startsWith(pattern.slice(0, -1))
    : pattern === path;
}
