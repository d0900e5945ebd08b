/** The platform's list of running and draining instances. @module */
import type { Result } from "true-myth/result";
import * as v from "valibot";
import type { PlatformError } from "./platform_error.ts";

/**
 * A listed process. The list lags: a listed instance may have ended already,
 * and a running one may be missing.
 */
export const instanceSchema = v.object({
  name: v.string(),
  role: v.picklist(["entry", "sidecar"]),
  /** IP address at which the process accepts links from other processes. */
  host: v.string(),
  port: v.number(),
  dataCentre: v.string(),
  /** Latency between data centres of one region is one or two milliseconds. */
  region: v.optional(v.string()),
  service: v.optional(v.string()),
  version: v.optional(v.string()),
  /** The process is draining. */
  leaving: v.boolean(),
  /** Port on the same host of the HTTP server for operators. */
  statusPort: v.optional(v.number()),
});
/** A listed process; fields as in {@link instanceSchema}. */
export type Instance = v.InferOutput<typeof instanceSchema>;

/** Client of the instance list, which is polled and may be seconds old. */
export abstract class InstanceList {
  abstract list(): Promise<Result<Instance[], PlatformError>>;
  /** Registers the own instance; repeated as a heartbeat. */
  abstract register(instance: Instance): Promise<Result<void, PlatformError>>;
  abstract deregister(name: string): Promise<Result<void, PlatformError>>;
}
