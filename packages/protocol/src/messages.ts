/**
 * The messages between an entry and a sidecar. An entry dials; both sides send
 * a `hello` first. Durations are milliseconds, sizes are bytes. A reservation's
 * number is unique within one incarnation of the entry that made it.
 * @module
 */
import * as v from "valibot";

/** Raised whenever a message changes so that an older peer would misread it. */
export const PROTOCOL_VERSION = 1;

const text = v.pipe(v.string(), v.maxLength(512));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const duration = v.pipe(v.number(), v.finite());
const bytes = v.custom<Uint8Array>((value) => value instanceof Uint8Array);
const reservationNumber = count;
const grantNumber = count;

/** HTTP headers by lower-case name; some, as `set-cookie`, come repeatedly. */
export const httpHeadersSchema = v.record(
  v.string(),
  v.union([v.string(), v.array(v.string())]),
);
/** See {@link httpHeadersSchema}. */
export type HttpHeaders = v.InferOutput<typeof httpHeadersSchema>;

/** What a caller may conclude about its request having run. */
export const executionStatusSchema = v.picklist(["no", "unknown", "yes"]);
/** See {@link executionStatusSchema}. */
export type ExecutionStatus = v.InferOutput<typeof executionStatusSchema>;

/** Work expected of a backend server: tokens for an engine, calls otherwise. */
export const costSchema = v.object({
  promptTokens: count,
  outputTokens: count,
});
/** See {@link costSchema}. */
export type Cost = v.InferOutput<typeof costSchema>;

/** The first message on a link, in both directions. */
export const helloSchema = v.object({
  type: v.literal("hello"),
  protocolVersion: count,
  role: v.picklist(["entry", "sidecar", "operator"]),
  instance: text,
  dataCentre: text,
  /** Unique to one start of one process. */
  incarnation: text,
  configurationRevision: count,
  service: v.optional(text),
  version: v.optional(text),
  leaving: v.optional(v.boolean()),
});

/** Asks for a place in the sidecar's queue; the body stays with the entry. */
export const reserveSchema = v.object({
  type: v.literal("reserve"),
  reservation: reservationNumber,
  service: text,
  /** 0 is served first. */
  tierRank: count,
  organisation: text,
  route: text,
  cost: costSchema,
  /** Time left until the caller gives up, counted from the sending. */
  remaining: duration,
  /** Time left until the first token is no longer good; absent: no goal. */
  firstTokenRemaining: v.optional(duration),
  prefixKey: v.optional(text),
  /** Hash of what would run; the same for a request sent again. */
  fingerprint: v.optional(text),
  /** The request may have crashed a server: it runs with nothing beside it. */
  suspect: v.optional(v.boolean()),
});

/** Takes a reservation back, or declines a grant that came too late. */
export const withdrawSchema = v.object({
  type: v.literal("withdraw"),
  reservation: reservationNumber,
});

/** The one dispatch of a request, in answer to a grant. */
export const handOverSchema = v.object({
  type: v.literal("handOver"),
  reservation: reservationNumber,
  grant: grantNumber,
  method: text,
  path: v.pipe(v.string(), v.maxLength(8192)),
  headers: httpHeadersSchema,
  body: bytes,
  remaining: duration,
  /** Not idempotent: it finishes although its entry is gone. */
  runToCompletion: v.optional(v.boolean()),
});

/** The caller has gone: stop the running request. */
export const cancelSchema = v.object({
  type: v.literal("cancel"),
  reservation: reservationNumber,
});

/** Offers the engine's room; lapses unless handed over within `lapse`. */
export const grantSchema = v.object({
  type: v.literal("grant"),
  reservation: reservationNumber,
  grant: grantNumber,
  lapse: duration,
});

/** Why a sidecar did not take, or no longer holds, a reservation. */
export const sidecarRefusalReasonSchema = v.picklist([
  "queue_full",
  "evicted",
  "deadline",
  "leaving",
  "unhealthy",
  "wrong_service",
  "version_stopped",
  "grant_lapsed",
  "quarantined",
]);
/** See {@link sidecarRefusalReasonSchema}. */
export type SidecarRefusalReason = v.InferOutput<
  typeof sidecarRefusalReasonSchema
>;

/** The reservation is gone and its request did not reach the server. */
export const refuseSchema = v.object({
  type: v.literal("refuse"),
  reservation: reservationNumber,
  reason: sidecarRefusalReasonSchema,
  /** When coming back is expected to help. */
  retryAfter: v.optional(duration),
});

/** Status and headers of the backend server's answer. */
export const headSchema = v.object({
  type: v.literal("head"),
  reservation: reservationNumber,
  status: count,
  headers: httpHeadersSchema,
});

/** The next bytes of an answer; `sequence` counts from 0 without gaps. */
export const chunkSchema = v.object({
  type: v.literal("chunk"),
  reservation: reservationNumber,
  sequence: count,
  bytes,
});

/** The answer is whole: all `chunks` chunks with `length` bytes were sent. */
export const endSchema = v.object({
  type: v.literal("end"),
  reservation: reservationNumber,
  chunks: count,
  length: count,
});

/** The answer is cut, or the request never reached the server (`ran: "no"`). */
export const failedSchema = v.object({
  type: v.literal("failed"),
  reservation: reservationNumber,
  ran: executionStatusSchema,
  reason: v.picklist([
    "grant_lapsed",
    "connect_failed",
    "answer_cut",
    "answer_too_large",
    "deadline",
    "cancelled",
  ]),
});

/** First-hand load of the backend server; rides beside other messages. */
export const loadSchema = v.object({
  type: v.literal("load"),
  running: count,
  waiting: count,
  /** Requests the server can run at once, as found by its limit. */
  limit: duration,
  /** Lowest tier that would be queued now; absent while there is room. */
  lowestTierRank: v.optional(count),
  /** Expected wait of a new reservation of the lowest tier. */
  expectedWait: duration,
  healthy: v.boolean(),
});

/** No new work from now on; running requests finish. */
export const leavingSchema = v.object({ type: v.literal("leaving") });

/** Fingerprints of what ran when a backend server died. */
export const crashedSchema = v.object({
  type: v.literal("crashed"),
  /** Instance name of its sidecar: one crash, told by many, counts once. */
  backendServer: text,
  fingerprints: v.array(text),
});

/** Keeps an idle link known to be alive. */
export const heartbeatSchema = v.object({
  type: v.literal("heartbeat"),
  configurationRevision: count,
});

/** Asks the peer for its configuration when it is newer than `revision`. */
export const pullConfigurationSchema = v.object({
  type: v.literal("pullConfiguration"),
  revision: count,
});

/** The published set as the platform's service holds it. */
export const configurationSchema = v.object({
  type: v.literal("configuration"),
  revision: count,
  text: v.string(),
});

const callCounts = v.object({ ended: count, failed: count, slow: count });

/** Ended calls of a move's two versions, from an entry to the move's driver. */
export const evidenceSchema = v.object({
  type: v.literal("evidence"),
  move: text,
  evidence: v.pipe(
    v.array(v.object({ route: text, from: callCounts, to: callCounts })),
    v.maxLength(128),
  ),
});

/** A move's record as the platform's service holds it. */
export const moveRecordSchema = v.object({
  type: v.literal("moveRecord"),
  text: v.string(),
});

/** Every message. */
export const messageSchema = v.variant("type", [
  helloSchema,
  reserveSchema,
  withdrawSchema,
  handOverSchema,
  cancelSchema,
  grantSchema,
  refuseSchema,
  headSchema,
  chunkSchema,
  endSchema,
  failedSchema,
  loadSchema,
  leavingSchema,
  crashedSchema,
  heartbeatSchema,
  pullConfigurationSchema,
  configurationSchema,
  evidenceSchema,
  moveRecordSchema,
]);

/** Any message of the protocol. */
export type Message = v.InferOutput<typeof messageSchema>;
/** See {@link helloSchema}. */
export type HelloMessage = v.InferOutput<typeof helloSchema>;
/** See {@link reserveSchema}. */
export type ReserveMessage = v.InferOutput<typeof reserveSchema>;
/** See {@link handOverSchema}. */
export type HandOverMessage = v.InferOutput<typeof handOverSchema>;
/** See {@link loadSchema}. */
export type LoadMessage = v.InferOutput<typeof loadSchema>;
/** See {@link failedSchema}. */
export type FailedMessage = v.InferOutput<typeof failedSchema>;
/** See {@link crashedSchema}. */
export type CrashedMessage = v.InferOutput<typeof crashedSchema>;
