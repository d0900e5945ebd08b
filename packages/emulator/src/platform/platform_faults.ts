/** Faults that can be switched on in an emulated platform service. @module */
import * as v from "valibot";

const duration = v.pipe(v.number(), v.minValue(0));

/**
 * Body of `PUT /faults`. Fields that are left out are reset to no fault.
 * - `outage`: `refuse` responds with status 503, `reset` closes the connection
 *   and `hang` never responds. The call takes no effect in any of these cases.
 * - `delay`: delay in milliseconds before a call is carried out.
 * - `lostWriteAnswers`: number of further writes that take effect, but whose
 *   connection is closed instead of sending the response.
 */
export const platformFaultsSchema = v.strictObject({
  outage: v.optional(v.picklist(["none", "refuse", "reset", "hang"]), "none"),
  delay: v.optional(duration, 0),
  lostWriteAnswers: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
});
export type PlatformFaults = v.InferOutput<typeof platformFaultsSchema>;

/** Faults of the instance list: those of all services, and the list's lags. */
export const instanceListFaultsSchema = v.strictObject({
  ...platformFaultsSchema.entries,
  /** Milliseconds until a new instance appears in the list. */
  appearLag: v.optional(duration, 0),
  /**
   * Milliseconds until the list shows that an instance is draining or
   * deregistered.
   */
  leaveLag: v.optional(duration, 0),
});
export type InstanceListFaults = v.InferOutput<typeof instanceListFaultsSchema>;
