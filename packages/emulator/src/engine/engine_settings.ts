/** How an emulated engine is built and how fast it is. @module */
import * as v from "valibot";

const milliseconds = v.pipe(v.number(), v.minValue(0));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(1));

/** Durations are milliseconds at speed 1. */
export const engineSettingsSchema = v.strictObject({
  name: v.optional(v.string(), "engine"),
  /** 2 is twice as fast. */
  speed: v.optional(v.pipe(v.number(), v.minValue(0.001)), 1),
  /** Sequences that one batch holds; the others wait inside the engine. */
  maxSequences: v.optional(count, 16),
  /** A step without any work in it. */
  stepTime: v.optional(milliseconds, 10),
  /** Added for each sequence that decodes in the step. */
  sequenceTime: v.optional(milliseconds, 0.5),
  /** Added for each prompt token prefilled in the step. */
  prefillTime: v.optional(milliseconds, 0.05),
  /** Prompt tokens that one step prefills at most. */
  prefillTokensPerStep: v.optional(count, 512),
  /** Tokens that the prefix cache holds. */
  cacheTokens: v.optional(v.pipe(v.number(), v.minValue(0)), 16384),
  /** Age of what `GET /load` says. */
  reportLag: v.optional(milliseconds, 1000),
  /** Seed of the errors drawn by the fault switch. */
  seed: v.optional(v.pipe(v.number(), v.safeInteger()), 1),
});
/** See {@link engineSettingsSchema}. */
export type EngineSettings = v.InferOutput<typeof engineSettingsSchema>;
/** Settings as given; what is absent takes its default. */
export type EngineSettingsInput = v.InferInput<typeof engineSettingsSchema>;
