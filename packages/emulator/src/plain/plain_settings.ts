/** How an emulated plain service is built. @module */
import * as v from "valibot";

/** Durations are milliseconds. */
export const plainSettingsSchema = v.strictObject({
  name: v.optional(v.string(), "plain"),
  /** Time that one call takes. */
  callTime: v.optional(v.pipe(v.number(), v.minValue(0)), 5),
  /** Calls that run at once; the others wait inside the service. */
  maxCalls: v.optional(v.pipe(v.number(), v.safeInteger(), v.minValue(1)), 8),
  /** Seed of the errors drawn by the fault switch. */
  seed: v.optional(v.pipe(v.number(), v.safeInteger()), 1),
});
/** See {@link plainSettingsSchema}. */
export type PlainSettings = v.InferOutput<typeof plainSettingsSchema>;
/** Settings as given; what is absent takes its default. */
export type PlainSettingsInput = v.InferInput<typeof plainSettingsSchema>;
