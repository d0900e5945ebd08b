/**
 * Messages between entries. Durations are milliseconds from the moment of
 * sending: the clocks of two instances are not compared.
 * @module
 */
import * as v from "valibot";

const text = v.pipe(v.string(), v.maxLength(512));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const amount = v.pipe(v.number(), v.finite());
const duration = amount;

/** An ask, with times relative to its sending; see `Ask`. */
export const askMessageSchema = v.object({
  type: v.literal("ask"),
  id: text,
  service: text,
  tierRank: count,
  routeRank: v.optional(count, 0),
  organisation: text,
  dataCentre: text,
  promptTokens: count,
  outputTokens: count,
  charge: count,
  age: duration,
  goalIn: duration,
  lapsesIn: duration,
  endsIn: duration,
  fingerprint: text,
  spread: duration,
  avoid: v.array(text),
  /** Server that another entry granted already: it is counted, not granted. */
  runsAt: v.optional(text),
});
/** See {@link askMessageSchema}. */
export type AskMessage = v.InferOutput<typeof askMessageSchema>;

/** A backend server, as peers tell of it. */
export const serverSchema = v.object({
  id: text,
  startedAt: v.number(),
  service: text,
  host: text,
  port: count,
  dataCentre: text,
  version: text,
  slots: count,
  draining: v.boolean(),
});

/** See `LimitObservation`; sent as an age. */
const limitObservation = v.object({
  /** Absent where the answer stated none. */
  perSecond: v.optional(v.pipe(v.number(), v.finite(), v.minValue(0))),
  by: text,
  age: duration,
});
/** See {@link limitObservation}. */
export type LimitObservationMessage = v.InferOutput<typeof limitObservation>;

const stateName = v.picklist(["configuration", "servers"]);
/** What entries pass on to each other of the store. */
export type StateName = v.InferOutput<typeof stateName>;

/** Everything that entries say to each other. */
export const peerMessageSchema = v.variant("type", [
  v.object({
    type: v.literal("hello"),
    instance: text,
    incarnation: text,
    /** The sender has read the member list from the store. */
    knowsMembers: v.optional(v.boolean(), false),
  }),
  /** Sent periodically and on changes; a peer that stops sending is lost. */
  v.object({
    type: v.literal("heartbeat"),
    configurationRevision: count,
    /** The store has told the sender of it, and answers. */
    configurationConfirmed: v.optional(v.boolean(), false),
    serverRevision: count,
    /** The sender takes no part in granting any more. */
    leaving: v.boolean(),
    /** The entry that the sender asks for servers; it may be itself. */
    asks: text,
    /** Shares that all entries have together, as the sender counts them. */
    shares: amount,
    /** Of the sender's instance, in cores. */
    processors: v.optional(v.pipe(v.number(), v.finite()), 1),
    /** The store lists the sender. */
    listed: v.boolean(),
    /** Maximum milliseconds until the sender's next heartbeat. */
    interval: v.optional(duration, 200),
    /** Requests an immediate heartbeat from the receiver. */
    reply: v.optional(v.boolean(), false),
  }),
  /** The entries that the sender knows, sent when a link is new. */
  v.object({
    type: v.literal("members"),
    members: v.array(
      v.object({
        instance: text,
        host: text,
        port: count,
        countedFor: duration,
      }),
    ),
  }),
  /** Asks for a part of a state that the receiver said it has. */
  v.object({
    type: v.literal("pull_state"),
    state: stateName,
    revision: count,
    offset: count,
  }),
  /** `bytes` from `offset` on, of `total`, compressed. */
  v.object({
    type: v.literal("state_part"),
    state: stateName,
    revision: count,
    offset: count,
    total: count,
    bytes: v.instance(Uint8Array<ArrayBufferLike>),
  }),
  askMessageSchema,
  /** The request no longer waits, or did not use its grant. */
  v.object({ type: v.literal("withdraw"), id: text }),
  /** The sender asks another entry from now on; what was granted may run. */
  v.object({ type: v.literal("release"), id: text }),
  v.object({ type: v.literal("first_answer"), id: text, measured: duration }),
  v.object({
    type: v.literal("ended"),
    id: text,
    /** Tokens after the first, how long they took, and their longest pause. */
    tokens: count,
    measured: duration,
    /** Over the longest that is accepted. */
    pausePart: v.optional(v.pipe(v.number(), v.finite()), 0),
    end: v.picklist([
      "answered",
      "failed",
      "connection_refused",
      "connection_timeout",
      "broken",
      "not_run",
      "misdirected",
      "abandoned",
    ]),
  }),
  v.object({
    type: v.literal("grant"),
    id: text,
    server: text,
    /** The server's limit in force, if it states one. */
    limit: v.optional(limitObservation),
  }),
  /** What an answer of a server said of its limit. */
  v.object({
    type: v.literal("server_limit"),
    server: text,
    observation: limitObservation,
  }),
  v.object({
    type: v.literal("refuse"),
    id: text,
    reason: v.picklist(["quota", "overload", "no_server", "expired"]),
    retryAfter: duration,
    /** What the sender saw; see `RefusalInputs`. */
    free: v.optional(count, 0),
    waiting: v.optional(count, 0),
    quotaWait: v.optional(duration, 0),
    standing: v.optional(v.picklist(["timely", "returned", "late"])),
  }),
]);
/** See {@link peerMessageSchema}. */
export type PeerMessage = v.InferOutput<typeof peerMessageSchema>;
