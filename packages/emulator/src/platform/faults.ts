/** The troubles that an emulated platform service can be told to have. @module */
import * as v from "valibot";

const duration = v.pipe(v.number(), v.minValue(0));

/**
 * Body of `PUT /faults`. Fields left out are without fault again.
 * - `outage`: `refuse` answers 503, `reset` cuts the connection and `hang` never
 *   answers; none of them lets a call take effect.
 * - `delay`: milliseconds before a call is carried out.
 * - `lostWriteAnswers`: so many writes take effect and have their answer cut.
 */
export const faultsSchema = v.strictObject({
  outage: v.optional(v.picklist(["none", "refuse", "reset", "hang"]), "none"),
  delay: v.optional(duration, 0),
  lostWriteAnswers: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
});
/** See {@link faultsSchema}. */
export type Faults = v.InferOutput<typeof faultsSchema>;

/** Faults of the instance list, which lags besides; see {@link faultsSchema}. */
export const listFaultsSchema = v.strictObject({
  ...faultsSchema.entries,
  /** Milliseconds until a new instance is listed. */
  appearLag: v.optional(duration, 0),
  /** Milliseconds until a leaving or a gone instance is listed so. */
  leaveLag: v.optional(duration, 0),
});
/** See {@link listFaultsSchema}. */
export type ListFaults = v.InferOutput<typeof listFaultsSchema>;
