/** The faults that can be switched on in an emulated server. @module */
import * as v from "valibot";

/** Share of a route's requests that are answered with `status`. */
export const errorRateSchema = v.strictObject({
  /** As in "POST /bookings". */
  route: v.string(),
  rate: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
  status: v.optional(v.number(), 500),
});

/** A limit that every answer states. */
export const statedLimitSchema = v.strictObject({
  header: v.optional(v.string(), "x-server-limit"),
  /** Requests a second from all callers; a text is sent as it is. */
  perSecond: v.union([v.pipe(v.number(), v.minValue(0)), v.string()]),
});

/** The whole set of switches; an absent one is off. */
export const faultsSchema = v.strictObject({
  /** Steps take this many times longer. */
  slowFactor: v.optional(v.pipe(v.number(), v.minValue(0.01)), 1),
  errorRates: v.optional(v.array(errorRateSchema), []),
  /** A request with one of these markers crashes the server. */
  crashMarkers: v.optional(v.array(v.string()), []),
  /** A request with one of these markers crashes it in the midst of answering. */
  crashMidAnswerMarkers: v.optional(v.array(v.string()), []),
  /** Requests are taken and never answered. */
  hang: v.optional(v.boolean(), false),
  /** Drops the connection after this many tokens, or half of a whole answer. */
  cutAfterTokens: v.optional(v.number()),
  statedLimit: v.optional(statedLimitSchema),
  /** What the health check says. */
  healthy: v.optional(v.boolean(), true),
});
/** See {@link faultsSchema}. */
export type Faults = v.InferOutput<typeof faultsSchema>;
/** What `PUT /faults` takes. */
export type FaultsInput = v.InferInput<typeof faultsSchema>;
