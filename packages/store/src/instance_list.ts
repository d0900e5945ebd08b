/** The platform's list of live and leaving instances. @module */
import type { Result } from "true-myth/result";
import * as v from "valibot";
import type { PlatformError } from "./platform_error.ts";

/** One listed process. The list lags: an instance may be gone, or be missing. */
export const instanceSchema = v.object({
  name: v.string(),
  role: v.picklist(["entry", "sidecar"]),
  /** Numeric address of the process's own protocol. */
  host: v.string(),
  port: v.number(),
  dataCentre: v.string(),
  /** Data centres of one region are a millisecond or two apart. */
  region: v.optional(v.string()),
  service: v.optional(v.string()),
  version: v.optional(v.string()),
  leaving: v.boolean(),
  /** Port on the same host that serves the HTTP pages for operators. */
  statusPort: v.optional(v.number()),
});
/** See {@link instanceSchema}. */
export type Instance = v.InferOutput<typeof instanceSchema>;

/** Read at intervals; the answer may be seconds old. */
export abstract class InstanceList {
  abstract list(): Promise<Result<Instance[], PlatformError>>;
  /** States the own instance; repeated as a heartbeat. */
  abstract register(instance: Instance): Promise<Result<void, PlatformError>>;
  abstract deregister(name: string): Promise<Result<void, PlatformError>>;
}
