/**
 * Which servers one request may be sent to. The granting entry decides by the
 * same rules, but may know of a change later than this entry, or be of an
 * earlier version that lacks some of them.
 * @module
 */
import { mayRunIn } from "@sycamorepulley/decisions";
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { RequestContext } from "./request_context.ts";
import type { ResolvedRequest } from "./resolve_request.ts";

/**
 * Milliseconds after which a grant may not be used any more if the service
 * limits how many requests a server gets in a second: the granting entry counts
 * it at the time of the grant.
 */
const MAXIMUM_GRANT_AGE = 200;

/** A grant of the request, and when it was received. */
export type Grant = { id: string; server: ServerRecord; at: number };

/** The servers that are excluded, and the data centres that are allowed. */
export class ServerEligibility {
  readonly #context: RequestContext;
  readonly #service: string;
  /** Data centres in which the request may run; any if absent. */
  readonly allowedDataCentres: readonly string[] | undefined;
  readonly #excluded: string[] = [];

  constructor(context: RequestContext, resolved: ResolvedRequest) {
    this.#context = context;
    this.#service = resolved.service;
    this.allowedDataCentres = resolved.homeRegions &&
      context.dataCentresIn(resolved.homeRegions);
  }

  /** True if the request may run in no data centre. */
  get isNowhere(): boolean {
    return this.allowedDataCentres?.length === 0;
  }

  /** Incarnations of the servers that must not be granted any more. */
  get excluded(): string[] {
    return [...this.#excluded];
  }

  exclude(incarnation: string): void {
    this.#excluded.push(incarnation);
  }

  /** Returns the record of a server, or excludes it if it may not be used. */
  find(incarnation: string): ServerRecord | undefined {
    const { allowedDataCentres } = this;
    const record = this.#context.findServer(incarnation);
    if (
      record !== undefined &&
      mayRunIn({ allowedDataCentres }, record.dataCentre)
    ) return record;
    this.exclude(incarnation);
    return undefined;
  }

  /** Whether the granting entry counted the request too long ago. */
  isOutdated({ at }: Grant): boolean {
    const { activeConfiguration, clock } = this.#context;
    const { services } = activeConfiguration()?.configuration ?? {};
    const { coldPerSecond = 0 } = services?.get(this.#service) ?? {};
    return coldPerSecond > 0 && clock() - at > MAXIMUM_GRANT_AGE;
  }
}
