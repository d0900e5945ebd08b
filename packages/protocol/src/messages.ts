/**
 * The messages between an entry and a sidecar. The entry opens the link; both
 * sides send a `hello` first. Durations are in milliseconds, sizes in bytes.
 * The number of a reservation is unique within one incarnation of the entry
 * that made it.
 * @module
 */
import * as v from "valibot";

/** Incremented when an older peer would misread a changed message. */
export const PROTOCOL_VERSION = 1;

const text = v.pipe(v.string(), v.maxLength(512));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const duration = v.pipe(v.number(), v.finite());
const bytes = v.custom<Uint8Array>((value) => value instanceof Uint8Array);
const reservationNumber = count;
const grantNumber = count;

/** HTTP headers by lower-case name; some, like `set-cookie`, may repeat. */
export const httpHeadersSchema = v.record(
  v.string(),
  v.union([v.string(), v.array(v.string())]),
);
/** HTTP headers; see {@link httpHeadersSchema}. */
export type HttpHeaders = v.InferOutput<typeof httpHeadersSchema>;

/** Whether the request has run, as far as is known. */
export const executionStatusSchema = v.picklist(["no", "unknown", "yes"]);
/** Whether a request has run; see {@link executionStatusSchema}. */
export type ExecutionStatus = v.InferOutput<typeof executionStatusSchema>;

/** Expected work of a request; a plain service's call counts as one token. */
export const costSchema = v.object({
  promptTokens: count,
  outputTokens: count,
});
/** Expected work of a request; see {@link costSchema}. */
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
  /** The sender is draining. */
  leaving: v.optional(v.boolean()),
});

/** Queues a request at the sidecar; its body stays with the entry. */
export const reserveSchema = v.object({
  type: v.literal("reserve"),
  reservation: reservationNumber,
  service: text,
  /** Rank of the request's tier; 0 is served first. */
  tierRank: count,
  organisation: text,
  route: text,
  cost: costSchema,
  /** Milliseconds until the caller's deadline, from when this is sent. */
  remaining: duration,
  /** Milliseconds left until the goal of the first token; absent: no goal. */
  firstTokenRemaining: v.optional(duration),
  prefixKey: v.optional(text),
  /** Hash of the request; a retry has the same. */
  fingerprint: v.optional(text),
  /** Fingerprints of its prompt's parts; earlier versions don't state them. */
  promptParts: v.optional(v.array(text)),
  /** The request may have crashed a server: it runs with no other beside it. */
  suspect: v.optional(v.boolean()),
});

/** Withdraws a reservation, or declines a grant that came too late. */
export const withdrawSchema = v.object({
  type: v.literal("withdraw"),
  reservation: reservationNumber,
});

/** Dispatches a request, in response to a grant; sent at most once. */
export const handOverSchema = v.object({
  type: v.literal("handOver"),
  reservation: reservationNumber,
  grant: grantNumber,
  method: text,
  path: v.pipe(v.string(), v.maxLength(8192)),
  headers: httpHeadersSchema,
  body: bytes,
  remaining: duration,
  /** Not idempotent: runs to its end even if the link to its entry is lost. */
  runToCompletion: v.optional(v.boolean()),
});

/** The caller has disconnected: stop the running request. */
export const cancelSchema = v.object({
  type: v.literal("cancel"),
  reservation: reservationNumber,
});

/**
 * Offers a slot at the backend server. The grant expires unless the request is
 * handed over within `lapse` milliseconds.
 */
export const grantSchema = v.object({
  type: v.literal("grant"),
  reservation: reservationNumber,
  grant: grantNumber,
  lapse: duration,
});

/** Why a sidecar did not accept, or has dropped, a reservation. */
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
/** Why a reservation was refused; see {@link sidecarRefusalReasonSchema}. */
export type SidecarRefusalReason = v.InferOutput<
  typeof sidecarRefusalReasonSchema
>;

/** The reservation has ended, and its request did not reach the server. */
export const refuseSchema = v.object({
  type: v.literal("refuse"),
  reservation: reservationNumber,
  reason: sidecarRefusalReasonSchema,
  /** Milliseconds after which a retry is expected to succeed. */
  retryAfter: v.optional(duration),
});

/** Status and headers of the backend server's response. */
export const headSchema = v.object({
  type: v.literal("head"),
  reservation: reservationNumber,
  status: count,
  headers: httpHeadersSchema,
});

/** The next bytes of a response; `sequence` counts from 0 without gaps. */
export const chunkSchema = v.object({
  type: v.literal("chunk"),
  reservation: reservationNumber,
  sequence: count,
  bytes,
});

/** The response is complete: `chunks` chunks with `length` bytes were sent. */
export const endSchema = v.object({
  type: v.literal("end"),
  reservation: reservationNumber,
  chunks: count,
  length: count,
});

/** The response broke off, or the request was not sent (`ran: "no"`). */
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

/** Load of the sidecar's backend server; sent along with other messages. */
export const loadSchema = v.object({
  type: v.literal("load"),
  running: count,
  waiting: count,
  /** Requests that the server can run at once, according to its limit. */
  limit: duration,
  /** Lowest tier that would be queued now; absent while there is capacity. */
  lowestTierRank: v.optional(count),
  /** Expected wait of a new reservation of the lowest tier, in milliseconds. */
  expectedWait: duration,
  healthy: v.boolean(),
});

/** The sidecar is draining: no new work; running requests finish. */
export const leavingSchema = v.object({ type: v.literal("leaving") });

/** Fingerprints of the requests that ran when a backend server crashed. */
export const crashedSchema = v.object({
  type: v.literal("crashed"),
  /** Instance name of its sidecar: a crash that several report counts once. */
  backendServer: text,
  fingerprints: v.array(text),
  /**
   * Parts of the prompts of these requests, in the same order; earlier versions
   * don't state them.
   */
  promptPartLists: v.optional(v.array(v.array(text))),
});

/** Shows that an idle link is alive. */
export const heartbeatSchema = v.object({
  type: v.literal("heartbeat"),
  configurationRevision: count,
});

/** Requests the peer's configuration if it is newer than `revision`. */
export const pullConfigurationSchema = v.object({
  type: v.literal("pullConfiguration"),
  revision: count,
});

/** The published configuration, as stored in the platform's service. */
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

/** The record of a move, as stored in the platform's service. */
export const moveRecordSchema = v.object({
  type: v.literal("moveRecord"),
  text: v.string(),
});

/** Any message between entry and sidecar. */
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

/** Any message between entry and sidecar; see {@link messageSchema}. */
export type Message = v.InferOutput<typeof messageSchema>;
/** The first message on a link; see {@link helloSchema}. */
export type HelloMessage = v.InferOutput<typeof helloSchema>;
/** Queues a request at the sidecar; see {@link reserveSchema}. */
export type ReserveMessage = v.InferOutput<typeof reserveSchema>;
/** Dispatches a request; see {@link handOverSchema}. */
export type HandOverMessage = v.InferOutput<typeof handOverSchema>;
/** Load of a backend server; see {@link loadSchema}. */
export type LoadMessage = v.InferOutput<typeof loadSchema>;
/** A request that failed; see {@link failedSchema}. */
export type FailedMessage = v.InferOutput<typeof failedSchema>;
/** Reports a crash of a backend server; see {@link crashedSchema}. */
export type CrashedMessage = v.InferOutput<typeof crashedSchema>;
