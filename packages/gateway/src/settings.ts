/** Settings of one gateway process, validated before it starts. @module */
import { callerConnections } from "@sycamorepulley/decisions";
import type { QuotaLeeway, RolloutBounds } from "@sycamorepulley/decisions";
import { processMemory } from "@sycamorepulley/receiving";
import * as v from "valibot";

/** Descriptors of a process whose settings state none. */
const DEFAULT_DESCRIPTORS = 16_384;

const port = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(65535));
const address = v.pipe(
  v.string(),
  v.regex(/^[^:]+:\d{1,5}$/, "is no host:port"),
  v.transform((text) => {
    const [host = "", number] = text.split(":");
    return { host, port: Number(number) };
  }),
  v.object({ host: v.string(), port }),
);
const positive = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Schema of the settings; durations are in seconds if their names say so. */
export const gatewaySettingsSchema = v.object({
  /** Name of this instance; unique in the fleet. */
  instance: v.pipe(v.string(), v.minLength(1)),
  dataCentre: v.string(),
  /** Region of each data centre, by name. */
  regions: v.optional(v.record(v.string(), v.string()), {}),
  /** Portion of each processor that this instance may use, in cores. */
  processorShare: v.optional(positive, 1),
  /** Number of processors of this instance. */
  processors: v.optional(positive, 1),
  /**
   * Megabytes of memory at which this process is killed. If absent, the bodies
   * of requests are bounded by the memory of the machine, and what is held for
   * slow callers for each response only.
   */
  memoryMegabytes: v.optional(positive),
  /**
   * Descriptors that this process may open: 200 for files, and three quarters of
   * the others for callers. 16,384 if absent.
   */
  descriptors: v.optional(positive),
  /** Address for callers. */
  front: address,
  /** Address at which the load balancer polls the readiness. */
  readiness: address,
  /** Address for other entries. */
  peers: address,
  /** Address for reading metrics. */
  metrics: address,
  /** Entries (`host:port`) to connect to while the store lists no others. */
  seeds: v.array(address),
  /**
   * True if something between this process and the backend servers accepts the
   * connections, such as a proxy or a service mesh. It may turn a reset into a
   * regular end, so that no end of a connection shows that a response is whole.
   */
  relayedServers: v.optional(v.boolean(), false),
  /** Decisions for uneven load; see `SchedulingOptions`. */
  scheduling: v.optional(
    v.object({
      adaptive: v.optional(v.picklist(["off", "reported", "on"]), "off"),
      organisationShares: v.optional(v.boolean()),
      appointments: v.optional(v.boolean()),
      transferPrice: v.optional(positive),
    }),
    {},
  ),
  bounds: v.object({
    /** From the stop signal until the process is killed. */
    gracePeriodSeconds: positive,
    /** Milliseconds that a backend server goes on serving when it leaves. */
    drainTime: v.optional(positive, 2000),
    /**
     * Factor and requests by which a cold server may get more in a second than
     * its service states.
     */
    coldOverage: v.optional(positive, 1),
    coldSlack: v.optional(positive, 0),
    /**
     * Share of a service's requests, and requests of the whole fleet beyond it,
     * that a version may get until its roll-out has an outcome.
     */
    exposedShare: v.optional(positive, 0.1),
    exposedSlack: v.optional(positive, 50),
    /** Milliseconds in which all entries stop using a version that is bad. */
    rollbackTime: v.optional(positive, 5000),
    /** Retries allowed per request, in any window, over all entries. */
    retryRatio: positive,
    /** Retries allowed in a window beyond that ratio, over all entries. */
    retrySlack: positive,
    retryWindowSeconds: positive,
    /** Length of the windows in which quotas are checked; any window counts. */
    quotaWindowSeconds: positive,
    /** Fraction by which a window may exceed rate and burst. */
    quotaOverage: positive,
    /** Tokens by which a window may exceed rate, burst and overage together. */
    quotaSlack: positive,
  }),
});

/** Settings that may change while the process runs. */
export type GatewayBounds = GatewaySettings["bounds"];

export type Address = v.InferOutput<typeof address>;
export type GatewaySettings = v.InferOutput<typeof gatewaySettingsSchema>;

/** Largest number of connections of callers, according to the settings. */
export function maxCallerConnections(settings: GatewaySettings): number {
  const { descriptors = DEFAULT_DESCRIPTORS, memoryMegabytes } = settings;
  const memory = processMemory(memoryMegabytes);
  return callerConnections({ descriptors, memory });
}

/** What is accepted beyond a quota according to the settings. */
export function quotaLeeway(bounds: GatewayBounds): QuotaLeeway {
  return {
    window: bounds.quotaWindowSeconds * 1000,
    overage: bounds.quotaOverage,
    slack: bounds.quotaSlack,
  };
}

/** What a version that may be bad gets at most, according to the settings. */
export function rolloutBounds(bounds: GatewayBounds): RolloutBounds {
  const { exposedShare, exposedSlack } = bounds;
  return { exposedShare, exposedSlack };
}

/** Processor capacity of the instance, in cores. */
export function processorCapacity(settings: GatewaySettings): number {
  return settings.processorShare * settings.processors;
}

/** Data centres that lie in any of the regions, according to the settings. */
export function dataCentresIn(
  regions: readonly string[],
  settings: Pick<GatewaySettings, "regions">,
): string[] {
  return Object.entries(settings.regions)
    .filter(([, region]) => regions.includes(region))
    .map(([dataCentre]) => dataCentre);
}
