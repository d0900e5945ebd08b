/** Record of one request at an emulated backend server. @module */
import * as v from "valibot";

/**
 * One request as seen by the server. Times are milliseconds since 1970 by the
 * server's clock. `cancelled` means that the peer closed the connection
 * before the response was complete.
 */
export const historyRecordSchema = v.object({
  server: v.string(),
  /** Position among the server's requests, from 0. */
  number: v.number(),
  method: v.string(),
  path: v.string(),
  marker: v.optional(v.string()),
  idempotencyKey: v.optional(v.string()),
  startedAt: v.number(),
  endedAt: v.optional(v.number()),
  outcome: v.picklist(["running", "finished", "failed", "cancelled"]),
  promptTokens: v.optional(v.number()),
  /** Prompt tokens that were found in the prefix cache and not prefilled. */
  cachedTokens: v.optional(v.number()),
});
export type HistoryRecord = v.InferOutput<typeof historyRecordSchema>;
