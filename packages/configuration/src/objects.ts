/**
 * Schemas of the configuration objects that operators edit. Objects refer to
 * one another by name. Durations are in milliseconds, sizes in bytes.
 * @module
 */
import * as v from "valibot";

const name = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9_.-]{0,62}$/, "use a-z, 0-9, '-', '_' and '.'"),
);
const positiveInteger = v.pipe(v.number(), v.safeInteger(), v.minValue(1));
const duration = positiveInteger;

/** A priority class of requests. Rank 0 is served first and shed last. */
export const tierSchema = v.strictObject({
  name,
  rank: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  /** Deadline of a request that states none, from its arrival. */
  defaultDeadline: duration,
  /** Longest time to first token that counts as good in this tier. */
  firstTokenGoal: v.optional(duration),
});
export type Tier = v.InferOutput<typeof tierSchema>;

/** A kind of call to a plain service, and whether it may be retried. */
export const routeSchema = v.strictObject({
  method: v.picklist(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Exact path, or a path prefix if it ends in "*". */
  path: v.pipe(v.string(), v.startsWith("/")),
  idempotent: v.boolean(),
  tier: v.optional(name),
});
export type Route = v.InferOutput<typeof routeSchema>;

/**
 * Limits on the request bodies, responses and waiting requests of one service,
 * for each entry and sidecar.
 */
export const boundsSchema = v.strictObject({
  bodyBytes: v.optional(positiveInteger, 1024 * 1024),
  answerBytes: v.optional(positiveInteger, 16 * 1024 * 1024),
  waitingAtEntry: v.optional(positiveInteger, 2000),
  waitingBytesAtEntry: v.optional(positiveInteger, 64 * 1024 * 1024),
  waitingAtSidecar: v.optional(positiveInteger, 2000),
});
export type Bounds = v.InferOutput<typeof boundsSchema>;

/**
 * A service that callers send requests to, run by backend servers of one kind.
 */
export const serviceSchema = v.strictObject({
  name,
  kind: v.picklist(["model", "plain"]),
  /**
   * Values of `model` in a chat completion request that select this service.
   */
  models: v.optional(v.array(v.string()), []),
  defaultTier: name,
  routes: v.optional(v.array(routeSchema), []),
  bounds: v.optional(boundsSchema, {}),
  /** Concurrency limit of a plain backend server before one is measured. */
  initialConcurrency: v.optional(positiveInteger, 4),
  /** How long the outcome of a non-idempotent request is kept for retries. */
  idempotencyRetention: v.optional(duration, 24 * 60 * 60 * 1000),
});
export type Service = v.InferOutput<typeof serviceSchema>;

/** A customer. Requests are scheduled fairly between organisations. */
export const organisationSchema = v.strictObject({
  name,
  /** SHA-256 hashes of its bearer tokens, in hexadecimal. */
  credentials: v.array(v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/))),
  services: v.array(name),
  /** Tiers that its callers may request. */
  tiers: v.array(name),
  /** Weight in the fair scheduling between the organisations of a tier. */
  weight: v.optional(v.pipe(v.number(), v.minValue(0.001)), 1),
});
export type Organisation = v.InferOutput<typeof organisationSchema>;

/** One release of a service's backend servers. */
export const versionSchema = v.strictObject({
  name,
  service: name,
  /** Receives the service's traffic, except for what a move shifts away. */
  live: v.optional(v.boolean(), false),
});
export type Version = v.InferOutput<typeof versionSchema>;

/** Shifts a service's traffic from one version to another by a deadline. */
export const moveSchema = v.strictObject({
  name,
  service: name,
  from: name,
  to: name,
  /** RFC 3339 instant by which the move is completed or rolled back. */
  deadline: v.pipe(v.string(), v.isoTimestamp()),
  /**
   * Largest fraction of the traffic for the new version until it is judged
   * good.
   */
  trialShare: v.optional(
    v.pipe(v.number(), v.minValue(0.001), v.maxValue(0.5)),
    0.02,
  ),
  /** Largest number of requests for the new version until it is judged good. */
  trialRequests: v.optional(positiveInteger, 200),
});
export type Move = v.InferOutput<typeof moveSchema>;

/** An order to send nothing to the backend servers of a data centre. */
export const evacuationSchema = v.strictObject({
  /** Name of the data centre, as in the instance list. */
  name: v.pipe(v.string(), v.minLength(1), v.maxLength(200)),
  /** Why it was ordered, for other operators. */
  reason: v.optional(v.string()),
});
export type Evacuation = v.InferOutput<typeof evacuationSchema>;

/** The whole configuration, as in an operator's file. */
export const objectsSchema = v.strictObject({
  services: v.optional(v.array(serviceSchema), []),
  tiers: v.optional(v.array(tierSchema), []),
  organisations: v.optional(v.array(organisationSchema), []),
  versions: v.optional(v.array(versionSchema), []),
  moves: v.optional(v.array(moveSchema), []),
  evacuations: v.optional(v.array(evacuationSchema), []),
});
export type ConfigurationObjects = v.InferOutput<typeof objectsSchema>;

/** The empty configuration, in force until the first publish. */
export const NO_OBJECTS: ConfigurationObjects = {
  services: [],
  tiers: [],
  organisations: [],
  versions: [],
  moves: [],
  evacuations: [],
};
