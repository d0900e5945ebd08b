/**
 * Request-rate limits that backend servers state in their responses, shared
 * between the entries of a group.
 *
 * The granting entry enforces the limits, but any entry may receive the
 * response that states one. Each entry sends its observations to its granting
 * entry, and each grant carries the limit that it was made under, so that every
 * entry can pass the limits on to the next granting entry.
 * @module
 */
import { parseServerLimit, ServerLimits } from "@sycamorepulley/decisions";
import type { LimitObservation, ServerLimit } from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import type { LimitObservationMessage, PeerMessage } from "./messages.ts";

/** Limits known to one entry. */
export class SharedServerLimits {
  /** Latest observations; times are those of this entry's clock. */
  readonly known = new ServerLimits();
  readonly #instance: string;
  readonly #clock: () => number;
  readonly #log: EventLog;
  readonly #send: (message: PeerMessage) => void;

  constructor(
    options: {
      instance: string;
      clock: () => number;
      log: EventLog;
      /** Sends to the granting entry, unless that is this entry. */
      send: (message: PeerMessage) => void;
    },
  ) {
    this.#instance = options.instance;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#send = options.send;
  }

  /** Observes the limit header of a response to a request sent at `sentAt`. */
  observe(
    server: string,
    value: string | string[] | undefined,
    sentAt: number,
  ): void {
    const parsed = parseServerLimit(value);
    if (parsed.isErr) {
      this.#log.write({
        event: "server_limit_unreadable",
        server,
        value: parsed.error,
      });
      return;
    }
    const perSecond = parsed.value;
    const observedAt = perSecond === undefined ? sentAt : this.#clock();
    const observation = { perSecond, by: this.#instance, observedAt };
    if (this.#record(server, observation)) {
      this.#send(this.#limitMessage(server, observation));
    }
  }

  /** Merges a limit that came with a grant or that a peer observed. */
  mergeFromPeer(
    server: string,
    { age, perSecond, by }: LimitObservationMessage,
  ): void {
    const observedAt = this.#clock() - Math.max(0, age);
    this.#record(server, { perSecond, by, observedAt });
  }

  /** The limit in force of a server, to be sent with a grant. */
  forGrant(server: string): LimitObservationMessage | undefined {
    const limit = this.known.find(server);
    return limit && this.#observationMessage(limit);
  }

  /** Sends all limits in force to the granting entry. */
  sendAll(): void {
    for (const [server, limit] of this.known.activeLimits()) {
      this.#send(this.#limitMessage(server, limit));
    }
  }

  /** Limits in force with the milliseconds since their observation. */
  *withAges(): Generator<{ server: string; limit: ServerLimit; age: number }> {
    const now = this.#clock();
    for (const [server, limit] of this.known.activeLimits()) {
      yield { server, limit, age: now - limit.observedAt };
    }
  }

  /** Returns true if the limit is new, changed or confirmed. */
  #record(server: string, observation: LimitObservation): boolean {
    const change = this.known.observe(server, observation);
    if (change === "changed") {
      const { by, perSecond } = observation;
      const age = Math.round(this.#clock() - observation.observedAt);
      this.#log.write(
        perSecond === undefined
          ? { event: "server_limit_ended", server, by, age }
          : { event: "server_limited", server, perSecond, by, age },
      );
    }
    return change !== "nothing";
  }

  #limitMessage(server: string, observation: LimitObservation): PeerMessage {
    return {
      type: "server_limit",
      server,
      observation: this.#observationMessage(observation),
    };
  }

  #observationMessage(
    { perSecond, by, observedAt }: LimitObservation,
  ): LimitObservationMessage {
    const age = this.#clock() - observedAt;
    return perSecond === undefined ? { by, age } : { perSecond, by, age };
  }
}
