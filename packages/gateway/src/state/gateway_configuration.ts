/** The operators' configuration as the gateway uses it. @module */
import { RouteTable } from "@sycamorepulley/decisions";
import type { Quota, Route } from "@sycamorepulley/decisions";

/** What callers may send, and how long they may take. Durations in ms. */
export type CallerLimits = {
  headerBytes: number;
  bodyBytes: number;
  headerTimeout: number;
  idleTimeout: number;
};

/** What a service's servers take from all entries together, and send. */
export type ServiceLimits = {
  connections: number;
  /** Tokens in one event of a stream. */
  tokensPerEvent: number;
};

/** An organisation that sends requests under its credentials. */
export type Organisation = {
  name: string;
  credentials: readonly string[];
  /** Goes before the routes' rank. */
  tierRank: number | undefined;
  quota: Quota | undefined;
  /** Tokens that a request counts as which does not state its own. */
  plainTokens: number;
  /** Its quota counts tokens; otherwise requests. */
  countsTokens: boolean;
};

/** One published version, as decoded. */
export type GatewayConfiguration = {
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, ServiceLimits>;
  limits: CallerLimits;
  /** Empty: no credentials are asked for. */
  organisations: readonly Organisation[];
};

/** A configuration with its look-up tables. */
export class ActiveConfiguration {
  readonly configuration: GatewayConfiguration;
  readonly routes: RouteTable;
  readonly #byCredential = new Map<string, Organisation>();
  readonly quotas = new Map<string, Quota>();

  constructor(configuration: GatewayConfiguration) {
    this.configuration = configuration;
    this.routes = new RouteTable(configuration.routes);
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
