/**
 * What servers state of their limits: read from answers, kept, and passed on
 * between the entries of a group.
 *
 * The entry that grants keeps to the limits, but any entry may get the answer that
 * states one. Each tells the entry that it asks, and each grant tells the limit it
 * was made under, so that all can tell the next granting entry.
 * @module
 */
import { parseServerLimit, ServerLimits } from "@sycamorepulley/decisions";
import type { LimitObservation, ServerLimit } from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import type { LimitObservationMessage, PeerMessage } from "./messages.ts";

/** See the module. */
export class SharedServerLimits {
  /** What this entry knows, its own clock's times. */
  readonly known = new ServerLimits();
  readonly #instance: string;
  readonly #clock: () => number;
  readonly #log: EventLog;
  readonly #tell: (message: PeerMessage) => void;

  constructor(
    options: {
      instance: string;
      clock: () => number;
      log: EventLog;
      /** Sends to the entry that grants, unless it is this one. */
      send: (message: PeerMessage) => void;
    },
  ) {
    this.#instance = options.instance;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#tell = options.send;
  }

  /** Takes the header's value of an answer to a request sent at `sentAt`. */
  observe(
    server: string,
    value: string | string[] | undefined,
    sentAt: number,
  ): void {
    const stated = parseServerLimit(value);
    if (stated.isErr) {
      this.#log.write({
        event: "server_limit_unreadable",
        server,
        value: stated.error,
      });
      return;
    }
    const perSecond = stated.value;
    const observedAt = perSecond === undefined ? sentAt : this.#clock();
    const observation = {
      perSecond,
      by: this.#instance,
      observedAt: observedAt,
    };
    if (this.#learn(server, observation)) {
      this.#tell(this.#messageOf(server, observation));
    }
  }

  /** Takes the limit of a grant, or what a peer observed. */
  told(server: string, { age, perSecond, by }: LimitObservationMessage): void {
    const observedAt = this.#clock() - Math.max(0, age);
    this.#learn(server, { perSecond, by, observedAt: observedAt });
  }

  /** The limit in force of a server, to send along with a grant. */
  inGrant(server: string): LimitObservationMessage | undefined {
    const limit = this.known.find(server);
    return limit && this.#observationMessage(limit);
  }

  /** Tells the entry that grants all limits in force. */
  tellAll(): void {
    for (const [server, limit] of this.known.activeLimits()) {
      this.#tell(this.#messageOf(server, limit));
    }
  }

  /** Limits in force with the milliseconds since they were heard. */
  *withAges(): Generator<{ server: string; limit: ServerLimit; age: number }> {
    const now = this.#clock();
    for (const [server, limit] of this.known.activeLimits()) {
      yield { server, limit, age: now - limit.observedAt };
    }
  }

  /** True for news, or a limit that is heard again. */
  #learn(server: string, observation: LimitObservation): boolean {
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

  #messageOf(server: string, observation: LimitObservation): PeerMessage {
    return {
      type: "server_limit",
      server,
      observation: this.#observationMessage(observation),
    };
  }

  #observationMessage(
    { perSecond, by, observedAt: heardAt }: LimitObservation,
  ): LimitObservationMessage {
    const age = this.#clock() - heardAt;
    return perSecond === undefined ? { by, age } : { perSecond, by, age };
  }
}
