/**
 * A daemon's settings file: JSON with comments, checked whole before anything
 * starts. Durations are milliseconds, sizes bytes.
 * @module
 */
import * as v from "valibot";

const name = v.pipe(
  v.string(),
  v.regex(/^[a-zA-Z0-9][a-zA-Z0-9_.-]{0,62}$/, "use letters, digits, -_."),
);
const port = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0, "use a port from 0 (any free one) to 65535"),
  v.maxValue(65535, "use a port from 0 (any free one) to 65535"),
);
const positive = v.pipe(v.number(), v.safeInteger(), v.minValue(1));

const addressSchema = v.strictObject({
  host: v.pipe(v.string(), v.ip("use a numeric IP address")),
  port,
});
/** Where a server listens. */
export type Address = v.InferOutput<typeof addressSchema>;

const platformSchema = v.strictObject({
  keyValueStore: v.pipe(v.string(), v.url()),
  instanceList: v.pipe(v.string(), v.url()),
  /** Processes in the whole fleet; spaces and bounds this one's calls. */
  fleetSize: v.optional(positive, 32),
});

const common = {
  instance: name,
  dataCentre: name,
  region: v.optional(name, "default"),
  status: addressSchema,
  protocol: addressSchema,
  platform: platformSchema,
  /** The protocol's address that peers are told, where it differs. */
  advertisedHost: v.optional(v.pipe(v.string(), v.ip())),
  /** Longest time a graceful shutdown waits for running requests. */
  shutdownWait: v.optional(positive, 15 * 60 * 1000),
  /** How long to keep answering after a stop while the balancer's list lags. */
  shutdownLag: v.optional(
    v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
    3000,
  ),
};

const entrySchema = v.strictObject({
  role: v.literal("entry"),
  ...common,
  http: addressSchema,
  /** Bounds of this entry over all services. */
  bounds: v.optional(
    v.strictObject({
      connections: v.optional(positive, 10_000),
      headerBytes: v.optional(positive, 16 * 1024),
      links: v.optional(positive, 600),
    }),
    {},
  ),
});
/** Settings of the entry role. */
export type EntrySettings = v.InferOutput<typeof entrySchema>;

const sidecarSchema = v.strictObject({
  role: v.literal("sidecar"),
  ...common,
  backendServer: v.strictObject({
    url: v.pipe(v.string(), v.url()),
    service: name,
    version: v.optional(name),
    kind: v.picklist(["model", "plain"]),
    healthPath: v.optional(v.pipe(v.string(), v.startsWith("/")), "/health"),
    healthInterval: v.optional(positive, 1000),
    /** Header in which the server states the requests a second that it takes. */
    limitHeader: v.optional(
      v.pipe(v.string(), v.regex(/^[A-Za-z0-9-]+$/, "use a header's name")),
      "X-Server-Limit",
    ),
  }),
  bounds: v.optional(
    v.strictObject({
      links: v.optional(positive, 600),
      waiting: v.optional(positive, 2000),
      answerBytes: v.optional(positive, 16 * 1024 * 1024),
    }),
    {},
  ),
});
/** Settings of the sidecar role. */
export type SidecarSettings = v.InferOutput<typeof sidecarSchema>;

/** What a settings file holds. */
export const settingsSchema = v.variant("role", [entrySchema, sidecarSchema]);
/** Settings of either role. */
export type Settings = v.InferOutput<typeof settingsSchema>;
