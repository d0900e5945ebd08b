/** What a judge has found, for another process that continues. @module */
import * as v from "valibot";

const callCountsSchema = v.object({
  ended: v.number(),
  failed: v.number(),
  slow: v.number(),
});

/** Logarithms of the evidence, one for each alternative of a test. */
const routeTestsSchema = v.object({
  failures: v.array(v.number()),
  slowness: v.array(v.number()),
});

/** State of a `MoveJudge`, without the calls that it has not compared yet. */
export const moveJudgeStateSchema = v.object({
  allRoutes: routeTestsSchema,
  routes: v.array(
    v.object({
      route: v.string(),
      from: callCountsSchema,
      to: callCountsSchema,
      ...routeTestsSchema.entries,
    }),
  ),
});
export type MoveJudgeState = v.InferOutput<typeof moveJudgeStateSchema>;

/** Thresholds of an `EvidenceCollector`; 0 where a measure has none. */
export const slowThresholdsSchema = v.array(
  v.object({ route: v.string(), values: v.array(v.number()) }),
);
export type SlowThresholds = v.InferOutput<typeof slowThresholdsSchema>;
