/**
 * Response to `GET /status` on the HTTP port that each process has for
 * operators. Durations are in milliseconds.
 * @module
 */
import * as v from "valibot";

const count = v.pipe(v.number(), v.minValue(0));
const counters = v.record(v.string(), count);

/** State of a backend server, as seen by its sidecar or by an entry. */
export const serverStatusSchema = v.object({
  name: v.string(),
  healthy: v.boolean(),
  /** Not chosen for some time, because of failures. */
  ejected: v.boolean(),
  running: count,
  waiting: count,
  /** Requests that it can run at once, according to its concurrency limit. */
  limit: count,
});
/** State of a backend server; fields as in {@link serverStatusSchema}. */
export type ServerStatus = v.InferOutput<typeof serverStatusSchema>;

/** Progress of a move from one version of a service to another. */
export const moveStatusSchema = v.object({
  name: v.string(),
  service: v.string(),
  from: v.string(),
  to: v.string(),
  /** Share of the service's traffic that the new version gets, 0 to 1. */
  share: v.number(),
  state: v.picklist(["waiting", "moving", "complete", "taken_back"]),
  /** RFC 3339 timestamp. */
  deadline: v.string(),
  /** Why the move was taken back, or what it is waiting for. */
  detail: v.optional(v.string()),
});
/** Progress of a move; fields as in {@link moveStatusSchema}. */
export type MoveStatus = v.InferOutput<typeof moveStatusSchema>;

/** The whole response. */
export const statusSchema = v.object({
  instance: v.string(),
  role: v.picklist(["entry", "sidecar"]),
  dataCentre: v.string(),
  service: v.optional(v.string()),
  version: v.optional(v.string()),
  /** 0 until a configuration is in force. */
  configurationRevision: count,
  ready: v.boolean(),
  /** The process is draining. */
  leaving: v.boolean(),
  /** Time since the start of the process. */
  uptime: count,
  /** Requests refused since the start of the process, by reason. */
  refusals: counters,
  /** Placements retried since the start of the process, by reason. */
  retries: counters,
  waiting: count,
  running: count,
  servers: v.optional(v.array(serverStatusSchema)),
  moves: v.optional(v.array(moveStatusSchema)),
});
/** The whole response; fields as in {@link statusSchema}. */
export type Status = v.InferOutput<typeof statusSchema>;
