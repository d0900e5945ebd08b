/** Settings of one gateway process, checked before anything starts. @module */
import type { QuotaLeeway } from "@sycamorepulley/decisions";
import * as v from "valibot";

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

/** See the fields; durations are milliseconds. */
export const gatewaySettingsSchema = v.object({
  /** Name of this instance; unique in the fleet. */
  instance: v.pipe(v.string(), v.minLength(1)),
  dataCentre: v.string(),
  /** Of this instance, in cores; a part of one too. */
  processorShare: v.optional(positive, 1),
  /** How many of them. */
  processors: v.optional(positive, 1),
  /** Where callers connect. */
  front: address,
  /** Where the balancer asks whether this instance takes callers. */
  readiness: address,
  /** Where other entries connect. */
  peers: address,
  /** Where metrics are served. */
  metrics: address,
  /** Entries to ask before the store has told of any: `host:port`. */
  seeds: v.array(address),
  bounds: v.object({
    /** From a request to stop until the process is killed. */
    gracePeriodSeconds: positive,
    /** Resends over requests, in any window, over all entries. */
    retryRatio: positive,
    /** Resends that go free in a window, over all entries. */
    retrySlack: positive,
    retryWindowSeconds: positive,
    /** Any span over which quotas are counted. */
    quotaWindowSeconds: positive,
    /** Share beyond rate and burst that is still accepted in a window. */
    quotaOverage: positive,
    /** Tokens beyond that. */
    quotaSlack: positive,
  }),
});

/** What may change while the process runs. */
export type GatewayBounds = GatewaySettings["bounds"];

/** A host and a port. */
export type Address = v.InferOutput<typeof address>;
/** See {@link gatewaySettingsSchema}. */
export type GatewaySettings = v.InferOutput<typeof gatewaySettingsSchema>;

/** What is accepted beyond a quota, as the settings state it. */
export function leewayOf(bounds: GatewayBounds): QuotaLeeway {
  return {
    window: bounds.quotaWindowSeconds * 1000,
    overage: bounds.quotaOverage,
    slack: bounds.quotaSlack,
  };
}

/** Processor time of the instance, in cores. */
export function processorsOf(settings: GatewaySettings): number {
  return settings.processorShare * settings.processors;
}
