/** The operators' configuration as the gateway uses it. @module */
import { RouteTable } from "@sycamorepulley/decisions";
import type { Quota, Route } from "@sycamorepulley/decisions";
import type { GatewayBounds } from "../settings.ts";

/** Limits on callers' requests and connections; durations in milliseconds. */
export type CallerLimits = {
  headerBytes: number;
  bodyBytes: number;
  headerTimeout: number;
  idleTimeout: number;
};

/** Properties of a service's backend servers. */
export type ServiceProperties = {
  /** Connections accepted from all entries together. */
  connections: number;
  /** Tokens in one event of a stream. */
  tokensPerEvent: number;
  /**
   * Requests per second that a server tolerates while it is cold; absent if a
   * cold server is not limited.
   */
  coldPerSecond?: number | undefined;
  /** Tokens that a server holds at a time; absent if it is not limited. */
  memoryTokens?: number | undefined;
};

/** An organisation that sends requests under its credentials. */
export type Organisation = {
  name: string;
  credentials: readonly string[];
  /** Takes precedence over the tier rank of the route. */
  tierRank: number | undefined;
  quota: Quota | undefined;
  /** Regions in which its requests may run; any if absent. */
  homeRegions?: readonly string[] | undefined;
  /** Tokens charged for a request that does not state its own number. */
  plainTokens: number;
  /** True if its quota counts tokens, false if it counts requests. */
  countsTokens: boolean;
};

/** One published version of the configuration, decoded. */
export type GatewayConfiguration = {
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, ServiceProperties>;
  limits: CallerLimits;
  /** If empty, no credentials are required. */
  organisations: readonly Organisation[];
};

/**
 * Requests that a server of each service accepts in any second while it is
 * cold, by service.
 */
export function startLimits(
  services: GatewayConfiguration["services"],
  { coldOverage, coldSlack }: Pick<GatewayBounds, "coldOverage" | "coldSlack">,
): Map<string, number> {
  const limits = new Map<string, number>();
  for (const [name, { coldPerSecond = 0 }] of services) {
    if (coldPerSecond <= 0) continue;
    limits.set(name, coldPerSecond * coldOverage + coldSlack);
  }
  return limits;
}

/** Tokens that a server holds at a time, by service. */
export function memoryLimits(
  services: GatewayConfiguration["services"],
): Map<string, number> {
  const limits = new Map<string, number>();
  for (const [name, { memoryTokens = 0 }] of services) {
    if (memoryTokens > 0) limits.set(name, memoryTokens);
  }
  return limits;
}

/** A configuration with its lookup tables. */
export class ActiveConfiguration {
  readonly configuration: GatewayConfiguration;
  readonly routes: RouteTable;
  /** Services that it describes, and those that its routes lead to. */
  readonly services: ReadonlySet<string>;
  readonly #byCredential = new Map<string, Organisation>();
  readonly quotas = new Map<string, Quota>();

  constructor(configuration: GatewayConfiguration) {
    this.configuration = configuration;
    this.routes = new RouteTable(configuration.routes);
    this.services = new Set([
      ...configuration.services.keys(),
      ...configuration.routes.flatMap(({ targets }) =>
        targets.map(({ service }) => service)
      ),
    ]);
    for (const organisation of configuration.organisations) {
      const { name, quota, credentials } = organisation;
      if (quota !== undefined) this.quotas.set(name, quota);
      for (const credential of credentials) {
        this.#byCredential.set(credential, organisation);
      }
    }
  }

  organisationOf(credential: string | undefined): Organisation | undefined {
    return credential === undefined
      ? undefined
      : this.#byCredential.get(credential);
  }
}
