/** Faults that can be switched on in an emulated backend server. @module */
import * as v from "valibot";

/** Fraction of a route's requests that get an error response with `status`. */
export const errorRateSchema = v.strictObject({
  /** Method and path, such as "POST /bookings". */
  route: v.string(),
  rate: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
  status: v.optional(v.number(), 500),
});

/** A rate limit that every response states in a header. */
export const statedLimitSchema = v.strictObject({
  header: v.optional(v.string(), "x-server-limit"),
  /** Requests per second from all callers; a string is sent unchanged. */
  perSecond: v.union([v.pipe(v.number(), v.minValue(0)), v.string()]),
});

/**
 * The server is cold: it states a limit, and crashes when it gets more requests
 * in a second than it accepts.
 */
export const coldSchema = v.strictObject({
  header: v.optional(v.string(), "x-server-limit"),
  /** Requests per second from all callers, as stated. */
  perSecond: v.pipe(v.number(), v.minValue(0)),
  /** Requests in any second that it survives. */
  accepted: v.pipe(v.number(), v.minValue(1)),
});

/**
 * What callers see of a server that has crashed: connections break and new ones
 * are refused, connections break and new ones get no response, or none of both.
 * The last two are as if its host still accepted connections, or were cut off.
 */
export const crashShapeSchema = v.picklist(["refused", "accepted", "silent"]);

/** Every request but the health check is turned away with status 503. */
export const turnAwaySchema = v.strictObject({
  /** Seconds, sent as `Retry-After`; a string is sent unchanged. */
  retryAfter: v.optional(
    v.union([v.pipe(v.number(), v.minValue(0)), v.string()]),
  ),
});

/** All faults; those left out are off. */
export const faultsSchema = v.strictObject({
  /** Factor by which steps and calls take longer. */
  slowFactor: v.optional(v.pipe(v.number(), v.minValue(0.01)), 1),
  errorRates: v.optional(v.array(errorRateSchema), []),
  /** Requests with these markers crash the server as soon as they arrive. */
  crashMarkers: v.optional(v.array(v.string()), []),
  /** Requests with these markers crash the server while it responds. */
  crashMidAnswerMarkers: v.optional(v.array(v.string()), []),
  /**
   * Texts of messages that crash the server at the first token of a response,
   * in any prompt in which they are not the last message.
   */
  crashMessages: v.optional(v.array(v.string()), []),
  crashShape: v.optional(crashShapeSchema, "refused"),
  /**
   * Milliseconds from now on in which an engine generates no tokens; it goes on
   * where it was.
   */
  pause: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
  /** Requests are accepted, but never get a response. */
  hang: v.optional(v.boolean(), false),
  /**
   * Closes the connection after this many tokens of a stream; a response that
   * is not streamed is cut after half of its body.
   */
  cutAfterTokens: v.optional(v.number()),
  statedLimit: v.optional(statedLimitSchema),
  cold: v.optional(coldSchema),
  /** Every response says that the server leaves, in this header. */
  leavingHeader: v.optional(v.string()),
  turnAway: v.optional(turnAwaySchema),
  /** Result of the health check. */
  healthy: v.optional(v.boolean(), true),
});
export type Faults = v.InferOutput<typeof faultsSchema>;
/** Body of `PUT /faults`, before defaults are filled in. */
export type FaultsInput = v.InferInput<typeof faultsSchema>;
