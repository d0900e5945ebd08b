/** What a backend server remembers of one request. @module */
import * as v from "valibot";

/**
 * One request as the server saw it. Instants are milliseconds of the server's
 * clock. `cancelled` means that the caller's side closed the connection first.
 */
export const historyRecordSchema = v.object({
  server: v.string(),
  number: v.number(),
  method: v.string(),
  path: v.string(),
  marker: v.optional(v.string()),
  idempotencyKey: v.optional(v.string()),
  startedAt: v.number(),
  endedAt: v.optional(v.number()),
  outcome: v.picklist(["running", "finished", "failed", "cancelled"]),
  promptTokens: v.optional(v.number()),
  /** Prompt tokens that the prefix cache saved. */
  cachedTokens: v.optional(v.number()),
});
/** See {@link historyRecordSchema}. */
export type HistoryRecord = v.InferOutput<typeof historyRecordSchema>;
