/**
 * Schema of a daemon's settings file. The file is JSON with comments and is
 * validated as a whole before anything starts. Durations are in milliseconds,
 * sizes in bytes.
 * @module
 */
import * as v from "valibot";

const nameSchema = v.pipe(
  v.string(),
  v.regex(
    /^[a-zA-Z0-9][a-zA-Z0-9_.-]{0,62}$/,
    "use up to 63 letters, digits, -_.",
  ),
);
const portSchema = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0, "use a port from 0 (any free one) to 65535"),
  v.maxValue(65535, "use a port from 0 (any free one) to 65535"),
);
const positiveInteger = v.pipe(v.number(), v.safeInteger(), v.minValue(1));

const addressSchema = v.strictObject({
  host: v.pipe(v.string(), v.ip("use a numeric IP address")),
  port: portSchema,
});
/** Address and port that a server listens on. */
export type Address = v.InferOutput<typeof addressSchema>;

const platformSchema = v.strictObject({
  keyValueStore: v.pipe(v.string(), v.url()),
  instanceList: v.pipe(v.string(), v.url()),
  /**
   * Number of processes in the whole fleet; this process spaces and limits its
   * calls to the platform accordingly.
   */
  fleetSize: v.optional(positiveInteger, 32),
});

const commonFields = {
  instance: nameSchema,
  dataCentre: nameSchema,
  region: v.optional(nameSchema, "default"),
  status: addressSchema,
  protocol: addressSchema,
  platform: platformSchema,
  /**
   * Host at which peers reach the protocol server, if it differs from the
   * address that the server listens on.
   */
  advertisedHost: v.optional(v.pipe(v.string(), v.ip())),
  /** Maximum time that a graceful shutdown waits for running requests. */
  shutdownWait: v.optional(positiveInteger, 15 * 60 * 1000),
  /**
   * How long an entry still serves new requests after a stop, until the load
   * balancer has removed it from its list.
   */
  shutdownLag: v.optional(
    v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
    3000,
  ),
};

const entrySchema = v.strictObject({
  role: v.literal("entry"),
  ...commonFields,
  http: addressSchema,
  /** Limits of this entry for all services together. */
  bounds: v.optional(
    v.strictObject({
      connections: v.optional(positiveInteger, 10_000),
      headerBytes: v.optional(positiveInteger, 16 * 1024),
      links: v.optional(positiveInteger, 600),
      /**
       * Megabytes (10^6 bytes) that this process may use; by default the memory
       * of the machine.
       */
      memoryMegabytes: v.optional(positiveInteger),
      /** Milliseconds in which a caller must have sent its whole request. */
      requestTimeout: v.optional(positiveInteger, 60_000),
      /** Processor cores that this process may use; fractions are possible. */
      processors: v.optional(
        v.pipe(v.number(), v.finite(), v.minValue(0.01)),
        1,
      ),
    }),
    {},
  ),
});
/** Settings of an entry. */
export type EntrySettings = v.InferOutput<typeof entrySchema>;

const headerNameSchema = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9-]+$/, "use a header name: letters, digits, -"),
);

const sidecarSchema = v.strictObject({
  role: v.literal("sidecar"),
  ...commonFields,
  backendServer: v.strictObject({
    url: v.pipe(v.string(), v.url()),
    service: nameSchema,
    version: v.optional(nameSchema),
    kind: v.picklist(["model", "plain"]),
    healthPath: v.optional(v.pipe(v.string(), v.startsWith("/")), "/health"),
    healthInterval: v.optional(positiveInteger, 1000),
    /** Header in which the server states its limit of requests per second. */
    limitHeader: v.optional(headerNameSchema, "X-Server-Limit"),
    /** Header with the value 1 in the responses of a server that leaves. */
    leavingHeader: v.optional(headerNameSchema, "X-Server-Leaving"),
  }),
  bounds: v.optional(
    v.strictObject({
      links: v.optional(positiveInteger, 600),
      waiting: v.optional(positiveInteger, 2000),
      answerBytes: v.optional(positiveInteger, 16 * 1024 * 1024),
    }),
    {},
  ),
});
/** Settings of a sidecar. */
export type SidecarSettings = v.InferOutput<typeof sidecarSchema>;

/** Schema of a settings file. */
export const settingsSchema = v.variant("role", [entrySchema, sidecarSchema]);
/** Settings of either role. */
export type Settings = v.InferOutput<typeof settingsSchema>;
