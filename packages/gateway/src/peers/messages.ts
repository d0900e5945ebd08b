/**
 * Messages between entries. Durations are milliseconds, relative to the time of
 * sending, since the clocks of two instances can't be compared.
 * @module
 */
import { rolloutHandoverSchema } from "@sycamorepulley/decisions";
import * as v from "valibot";

const text = v.pipe(v.string(), v.maxLength(512));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const amount = v.pipe(v.number(), v.finite());
const duration = amount;

/**
 * A grant request with times relative to its sending; `encodeGrantRequest`
 * shows which field of `GrantRequest` each field is.
 */
export const grantRequestMessageSchema = v.object({
  type: v.literal("ask"),
  id: text,
  service: text,
  tierRank: count,
  routeRank: v.optional(count, 0),
  /** Name of the route; earlier versions don't state it. */
  route: v.optional(text),
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
  /** Earlier versions don't state them. */
  promptParts: v.optional(v.array(text), []),
  spread: duration,
  avoid: v.array(text),
  /** Longest accepted pause between events, and the size of the body. */
  pauseGoal: v.optional(duration),
  bodyBytes: v.optional(count),
  /** Prompt and largest output in tokens; earlier versions don't state it. */
  memoryTokens: v.optional(count),
  /** Data centres in which it may run; any if absent. */
  within: v.optional(v.array(text)),
  /**
   * Server that another entry has granted already: the request is counted as
   * running there and not granted again.
   */
  runsAt: v.optional(text),
  /** Its address as `host:port`, if it is known; earlier versions lack it. */
  runsAtAddress: v.optional(text),
});
export type GrantRequestMessage = v.InferOutput<
  typeof grantRequestMessageSchema
>;

/** A backend server, as sent between peers. */
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
  /** Milliseconds for which it stays cold; absent if it is not cold. */
  coldFor: v.optional(duration),
  /**
   * Store revision at which the record was written. Views of earlier versions
   * lack it and are refused, as their records have no order.
   */
  revision: count,
});

/** A `LimitObservation`; its time is sent as an age. */
const limitObservationSchema = v.object({
  /** Requests per second; absent if the response stated no limit. */
  perSecond: v.optional(v.pipe(v.number(), v.finite(), v.minValue(0))),
  by: text,
  age: duration,
});
export type LimitObservationMessage = v.InferOutput<
  typeof limitObservationSchema
>;

/**
 * Milliseconds for which the granted server wants no further requests of the
 * sender.
 */
const requestedBackoff = v.optional(duration, 0);

/**
 * What a server reported with a response: the age of the report in
 * milliseconds, then the figures of its header; see `loadOf`.
 */
const reportedLoad = v.optional(v.pipe(v.array(count), v.minLength(4)));

/** A `SuspectStatement`. */
export const suspectStatementSchema = v.object({
  fingerprint: text,
  kind: v.picklist(["clear", "suspect", "quarantined"]),
  revision: count,
  crashes: count,
  soleSuspectCrashes: count,
  /** Earlier versions don't count them. */
  quarantines: v.optional(count, 0),
  servers: v.array(text),
  /** Milliseconds for which the statement is valid. */
  remaining: duration,
});

/** Fields of a `StatePosition`; earlier versions state the revision only. */
const statePosition = {
  revision: count,
  era: v.optional(count, 0),
  version: v.optional(amount),
};

/** A `RolloutStatement`; an order without a target was removed. */
const rolloutMessageSchema = v.object({
  service: text,
  target: v.optional(text),
  duration: v.optional(duration, 0),
  era: count,
  revision: count,
  /** Milliseconds since the order. */
  age: duration,
  progress: v.picklist([
    "pending",
    "running",
    "completing",
    "succeeded",
    "rolled_back",
  ]),
  storedEra: v.optional(count),
  /** Versions that were rolled back before. */
  rejected: v.optional(v.array(text), []),
});
export type RolloutMessage = v.InferOutput<typeof rolloutMessageSchema>;

/** Times of an `Appointment`; `runTime` is the promised slot time. */
const appointmentTimes = {
  startsIn: duration,
  tolerance: duration,
  runTime: v.pipe(duration, v.minValue(0)),
};

const stateNameSchema = v.picklist(["configuration", "servers"]);
/** State of the store that entries pass on to each other. */
export type StateName = v.InferOutput<typeof stateNameSchema>;

/** All messages between entries. */
export const peerMessageSchema = v.variant("type", [
  v.object({
    type: v.literal("hello"),
    instance: text,
    /** Differs for each start of the sender. */
    incarnation: text,
    /** The sender has read the member list from the store. */
    knowsMembers: v.optional(v.boolean(), false),
    /** No peer has sent its state to the sender yet. */
    hasJustStarted: v.optional(v.boolean(), false),
    /** The sender accepts messages about suspects; earlier versions don't. */
    acceptsSuspects: v.optional(v.boolean(), false),
    /** The same for messages about appointments. */
    acceptsAppointments: v.optional(v.boolean(), false),
    /** The same for messages about what is known of roll-outs. */
    acceptsRolloutHandovers: v.optional(v.boolean(), false),
  }),
  /** Sent periodically and on changes; a peer that stops sending is lost. */
  v.object({
    type: v.literal("heartbeat"),
    configurationRevision: count,
    /** Earlier versions state a revision only. */
    configurationVersion: v.optional(amount),
    /** The store confirmed it to the sender, and no call has failed since. */
    configurationConfirmed: v.optional(v.boolean(), false),
    /** 0 if the sender's view of the servers is not of `storeEra`. */
    serverRevision: count,
    /** Newest era of the store that the sender knows, if it knows any. */
    storeEra: v.optional(count),
    /** Milliseconds since the store responded to the sender, if it ever has. */
    storeContactAge: v.optional(duration),
    /** The sender is draining. */
    leaving: v.boolean(),
    /** The sender's granting entry, which may be the sender itself. */
    asks: text,
    /** Total shares of all entries, as the sender counts them. */
    shares: amount,
    /** Processor capacity of the sender's instance, in cores. */
    processors: v.optional(v.pipe(v.number(), v.finite()), 1),
    /** The other entries certainly count the sender with its full share. */
    listed: v.boolean(),
    /** Incarnations of servers that leave, as their responses said. */
    leavingServers: v.optional(v.array(text), []),
    /** Known evacuations of data centres, also those that have ended. */
    evacuations: v.optional(
      v.array(v.object({
        dataCentre: text,
        evacuated: v.boolean(),
        era: count,
        revision: count,
      })),
      [],
    ),
    rollouts: v.optional(v.array(rolloutMessageSchema), []),
    /** Maximum milliseconds until the sender's next heartbeat. */
    interval: v.optional(duration, 200),
    /** Requests an immediate heartbeat from the receiver. */
    reply: v.optional(v.boolean(), false),
  }),
  /** The entries that the sender knows, sent over each new link. */
  v.object({
    type: v.literal("members"),
    members: v.array(
      v.object({
        instance: text,
        host: text,
        port: count,
        /** Milliseconds for which the sender will still count the entry. */
        countedFor: duration,
      }),
    ),
  }),
  /** Requests one part of a state that the receiver has announced. */
  v.object({
    type: v.literal("pull_state"),
    state: stateNameSchema,
    ...statePosition,
    offset: count,
  }),
  /** Compressed bytes from `offset` on, out of `total` bytes. */
  v.object({
    type: v.literal("state_part"),
    state: stateNameSchema,
    ...statePosition,
    offset: count,
    total: count,
    bytes: v.instance(Uint8Array<ArrayBufferLike>),
  }),
  grantRequestMessageSchema,
  /** The grant request no longer waits, or its grant was not used. */
  v.object({
    type: v.literal("withdraw"),
    id: text,
    backoff: requestedBackoff,
  }),
  /** The sender has another granting entry now; granted requests still run. */
  v.object({ type: v.literal("release"), id: text }),
  /** `measured`: milliseconds from sending until the response began. */
  v.object({
    type: v.literal("first_answer"),
    id: text,
    measured: duration,
    load: reportedLoad,
  }),
  v.object({
    type: v.literal("ended"),
    id: text,
    /** Tokens after the first one, and the milliseconds that they took. */
    tokens: count,
    measured: duration,
    /** Longest pause between tokens, divided by the longest accepted one. */
    pausePart: v.optional(v.pipe(v.number(), v.finite()), 0),
    backoff: requestedBackoff,
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
    /** With `broken`: the server refuses new connections. */
    crashed: v.optional(v.boolean(), false),
    load: reportedLoad,
  }),
  v.object({
    type: v.literal("grant"),
    id: text,
    server: text,
    /** The server's request-rate limit, if it states one. */
    limit: v.optional(limitObservationSchema),
  }),
  /** What a response of a server stated about its request-rate limit. */
  v.object({
    type: v.literal("server_limit"),
    server: text,
    observation: limitObservationSchema,
  }),
  /** Requests that may crash servers; the newer statement on each applies. */
  v.object({
    type: v.literal("suspects"),
    statements: v.array(suspectStatementSchema),
  }),
  v.object({
    type: v.literal("refuse"),
    id: text,
    reason: v.picklist([
      "quota",
      "overload",
      "no_server",
      "expired",
      "quarantined",
    ]),
    retryAfter: duration,
    /**
     * With `overload`: the reason is `too_large`, which earlier versions don't
     * know.
     */
    tooLarge: v.optional(v.boolean(), false),
    /** Inputs of the sender's decision; see `RefusalInputs`. */
    free: v.optional(count, 0),
    waiting: v.optional(count, 0),
    quotaWait: v.optional(duration, 0),
    standing: v.optional(v.picklist(["timely", "returned", "late"])),
    /** With `returned`: the caller came at its appointment. */
    isAppointed: v.optional(v.boolean()),
    /** With `overload`: no capacity will be free for it. */
    hasNoCapacity: v.optional(v.boolean()),
    /** When the caller is to return, if capacity is promised to it. */
    appointment: v.optional(v.object(appointmentTimes)),
    forecastFree: v.optional(amount),
    forecastAge: v.optional(duration),
  }),
  /** What the sender, or a granting entry before it, knows of a roll-out. */
  v.object({
    type: v.literal("rollout_handover"),
    handover: rolloutHandoverSchema,
  }),
  /** Appointments that the sender's callers have from other entries. */
  v.object({
    type: v.literal("appointments"),
    appointments: v.array(
      v.object({
        service: text,
        fingerprint: text,
        organisation: text,
        ...appointmentTimes,
      }),
    ),
  }),
]);
export type PeerMessage = v.InferOutput<typeof peerMessageSchema>;
