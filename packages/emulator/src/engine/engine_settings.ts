/** Settings of an emulated engine: its limits and its speed. @module */
import * as v from "valibot";

const milliseconds = v.pipe(v.number(), v.minValue(0));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(1));

/** Durations are in milliseconds and apply at speed 1. */
export const engineSettingsSchema = v.strictObject({
  name: v.optional(v.string(), "engine"),
  /** Factor that divides the duration of each step; 2 is twice as fast. */
  speed: v.optional(v.pipe(v.number(), v.minValue(0.001)), 1),
  /** Maximum number of sequences in the batch; others wait in the engine. */
  maxSequences: v.optional(count, 16),
  /** Duration of a step that processes no token. */
  stepTime: v.optional(milliseconds, 10),
  /** Added for each sequence that decodes in the step. */
  sequenceTime: v.optional(milliseconds, 0.5),
  /** Added for each prompt token prefilled in the step. */
  prefillTime: v.optional(milliseconds, 0.05),
  /** Maximum number of prompt tokens prefilled in one step. */
  prefillTokensPerStep: v.optional(count, 512),
  /** Capacity of the prefix cache in tokens. */
  cacheTokens: v.optional(v.pipe(v.number(), v.minValue(0)), 16384),
  /** Maximum age of the load that `GET /load` reports. */
  reportLag: v.optional(milliseconds, 1000),
  /** Seed of the random draws for `errorRates`. */
  seed: v.optional(v.pipe(v.number(), v.safeInteger()), 1),
});
export type EngineSettings = v.InferOutput<typeof engineSettingsSchema>;
/** Settings before defaults are filled in. */
export type EngineSettingsInput = v.InferInput<typeof engineSettingsSchema>;
