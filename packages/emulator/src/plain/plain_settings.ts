/** Settings of an emulated plain service. @module */
import * as v from "valibot";

/** Durations are in milliseconds. */
export const plainSettingsSchema = v.strictObject({
  name: v.optional(v.string(), "plain"),
  /** Duration of one call. */
  callTime: v.optional(v.pipe(v.number(), v.minValue(0)), 5),
  /** Maximum number of concurrent calls; others wait in the service. */
  maxCalls: v.optional(v.pipe(v.number(), v.safeInteger(), v.minValue(1)), 8),
  /** Seed of the random draws for `errorRates`. */
  seed: v.optional(v.pipe(v.number(), v.safeInteger()), 1),
});
export type PlainSettings = v.InferOutput<typeof plainSettingsSchema>;
/** Settings before defaults are filled in. */
export type PlainSettingsInput = v.InferInput<typeof plainSettingsSchema>;
