/**
 * The named objects that operators edit. They refer to one another by name.
 * Durations are milliseconds, sizes bytes.
 * @module
 */
import * as v from "valibot";

const name = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9_.-]{0,62}$/, "use a-z, 0-9, '-', '_' and '.'"),
);
const positive = v.pipe(v.number(), v.safeInteger(), v.minValue(1));
const duration = positive;

/** A class of urgency. Rank 0 is served first and shed last. */
export const tierSchema = v.strictObject({
  name,
  rank: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  /** Deadline of a request that states none. */
  defaultDeadline: duration,
  /** Time to first token that counts as good for this tier. */
  firstTokenGoal: v.optional(duration),
});
/** See {@link tierSchema}. */
export type Tier = v.InferOutput<typeof tierSchema>;

/** A call of a plain service and whether it may be repeated. */
export const routeSchema = v.strictObject({
  method: v.picklist(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Exact path, or a prefix when it ends in "*". */
  path: v.pipe(v.string(), v.startsWith("/")),
  idempotent: v.boolean(),
  tier: v.optional(name),
});
/** See {@link routeSchema}. */
export type Route = v.InferOutput<typeof routeSchema>;

/** What one service may hold at each entry and sidecar. */
export const boundsSchema = v.strictObject({
  bodyBytes: v.optional(positive, 1024 * 1024),
  answerBytes: v.optional(positive, 16 * 1024 * 1024),
  waitingAtEntry: v.optional(positive, 2000),
  waitingBytesAtEntry: v.optional(positive, 64 * 1024 * 1024),
  waitingAtSidecar: v.optional(positive, 2000),
});
/** See {@link boundsSchema}. */
export type Bounds = v.InferOutput<typeof boundsSchema>;

/** Something callers ask for, run by backend servers of one kind. */
export const serviceSchema = v.strictObject({
  name,
  kind: v.picklist(["model", "plain"]),
  /** Values of a chat completion's `model` that mean this service. */
  models: v.optional(v.array(v.string()), []),
  defaultTier: name,
  routes: v.optional(v.array(routeSchema), []),
  bounds: v.optional(boundsSchema, {}),
  /** Requests a plain backend server may run at once, before measurement. */
  initialConcurrency: v.optional(positive, 4),
  /** How long the outcome of a non-idempotent request is kept for resends. */
  idempotencyRetention: v.optional(duration, 24 * 60 * 60 * 1000),
});
/** See {@link serviceSchema}. */
export type Service = v.InferOutput<typeof serviceSchema>;

/** A customer; its requests are served fairly beside the others'. */
export const organisationSchema = v.strictObject({
  name,
  /** SHA-256 of each bearer token, in hexadecimal. */
  credentials: v.array(v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/))),
  services: v.array(name),
  /** Tiers that its callers may ask for. */
  tiers: v.array(name),
  /** Share beside other organisations of the same tier. */
  weight: v.optional(v.pipe(v.number(), v.minValue(0.001)), 1),
});
/** See {@link organisationSchema}. */
export type Organisation = v.InferOutput<typeof organisationSchema>;

/** One release of a service's backend servers. */
export const versionSchema = v.strictObject({
  name,
  service: name,
  /** Receives the service's traffic while no move says otherwise. */
  live: v.optional(v.boolean(), false),
});
/** See {@link versionSchema}. */
export type Version = v.InferOutput<typeof versionSchema>;

/** Shifts a service's traffic from one version to another by a deadline. */
export const moveSchema = v.strictObject({
  name,
  service: name,
  from: name,
  to: name,
  /** RFC 3339 instant by which the move is complete or taken back. */
  deadline: v.pipe(v.string(), v.isoTimestamp()),
  /** Largest share of traffic the new version gets before it is judged good. */
  trialShare: v.optional(
    v.pipe(v.number(), v.minValue(0.001), v.maxValue(0.5)),
    0.02,
  ),
  /** Most requests it gets before it is judged good. */
  trialRequests: v.optional(positive, 200),
});
/** See {@link moveSchema}. */
export type Move = v.InferOutput<typeof moveSchema>;

/** The whole set, as an operator's file holds it. */
export const objectsSchema = v.strictObject({
  services: v.optional(v.array(serviceSchema), []),
  tiers: v.optional(v.array(tierSchema), []),
  organisations: v.optional(v.array(organisationSchema), []),
  versions: v.optional(v.array(versionSchema), []),
  moves: v.optional(v.array(moveSchema), []),
});
/** See {@link objectsSchema}. */
export type ConfigurationObjects = v.InferOutput<typeof objectsSchema>;

/** What is published before the first set. */
export const NO_OBJECTS: ConfigurationObjects = {
  services: [],
  tiers: [],
  organisations: [],
  versions: [],
  moves: [],
};
