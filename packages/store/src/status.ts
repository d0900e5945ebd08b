/**
 * What each process answers on `GET /status` of its operators' HTTP port.
 * Durations are milliseconds.
 * @module
 */
import * as v from "valibot";

const count = v.pipe(v.number(), v.minValue(0));
const counters = v.record(v.string(), count);

/** A backend server as its sidecar, or an entry, sees it. */
export const serverStatusSchema = v.object({
  name: v.string(),
  healthy: v.boolean(),
  /** Taken out of the choice for a while after failures. */
  ejected: v.boolean(),
  running: count,
  waiting: count,
  /** Requests it can run at once, as found by the limit. */
  limit: count,
});
/** See {@link serverStatusSchema}. */
export type ServerStatus = v.InferOutput<typeof serverStatusSchema>;

/** How far a move has come. */
export const moveStatusSchema = v.object({
  name: v.string(),
  service: v.string(),
  from: v.string(),
  to: v.string(),
  /** Share of the service's traffic that the new version gets, 0 to 1. */
  share: v.number(),
  state: v.picklist(["waiting", "moving", "complete", "taken_back"]),
  /** RFC 3339 instant. */
  deadline: v.string(),
  /** Why it was taken back, or what it waits for. */
  detail: v.optional(v.string()),
});
/** See {@link moveStatusSchema}. */
export type MoveStatus = v.InferOutput<typeof moveStatusSchema>;

/** The answer. */
export const statusSchema = v.object({
  instance: v.string(),
  role: v.picklist(["entry", "sidecar"]),
  dataCentre: v.string(),
  service: v.optional(v.string()),
  version: v.optional(v.string()),
  /** 0 until a configuration is in force. */
  configurationRevision: count,
  ready: v.boolean(),
  leaving: v.boolean(),
  /** Since the start of the process. */
  uptime: count,
  /** Requests refused since the start, by reason. */
  refusals: counters,
  /** Placements tried again since the start, by reason. */
  retries: counters,
  waiting: count,
  running: count,
  servers: v.optional(v.array(serverStatusSchema)),
  moves: v.optional(v.array(moveStatusSchema)),
});
/** See {@link statusSchema}. */
export type Status = v.InferOutput<typeof statusSchema>;
