/**
 * What servers state of their limits: read from answers, kept, and passed on
 * between the entries of a group.
 *
 * The entry that grants keeps to the limits, but any entry may get the answer that
 * states one. Each tells the entry that it asks, and each grant tells the limit it
 * was made under, so that all can tell the next granting entry.
 * @module
 */
import { ServerLimits, statedLimit } from "@sycamorepulley/decisions";
import type { LimitWord, ServerLimit } from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import type { LimitWordMessage, PeerMessage } from "./messages.ts";

/** See the module. */
export class ServerLimitWords {
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
      tell: (message: PeerMessage) => void;
    },
  ) {
    this.#instance = options.instance;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#tell = options.tell;
  }

  /** Takes the header's value of an answer to a request sent at `sentAt`. */
  heard(
    server: string,
    value: string | string[] | undefined,
    sentAt: number,
  ): void {
    const stated = statedLimit(value);
    if (stated.isErr) {
      this.#log.write({
        event: "server_limit_unreadable",
        server,
        value: stated.error,
      });
      return;
    }
    const perSecond = stated.value;
    const heardAt = perSecond === undefined ? sentAt : this.#clock();
    const word = { perSecond, by: this.#instance, heardAt };
    if (this.#learn(server, word)) this.#tell(this.#messageOf(server, word));
  }

  /** Takes the limit of a grant, or a peer's word. */
  told(server: string, { age, perSecond, by }: LimitWordMessage): void {
    this.#learn(server, { perSecond, by, heardAt: this.#clock() - age });
  }

  /** The limit in force of a server, to send along with a grant. */
  inGrant(server: string): LimitWordMessage | undefined {
    const limit = this.known.find(server);
    return limit && this.#wordMessage(limit);
  }

  /** Tells the entry that grants all limits in force. */
  tellAll(): void {
    for (const [server, limit] of this.known.inForce()) {
      this.#tell(this.#messageOf(server, limit));
    }
  }

  /** Limits in force with the milliseconds since they were heard. */
  *ages(): Generator<{ server: string; limit: ServerLimit; age: number }> {
    const now = this.#clock();
    for (const [server, limit] of this.known.inForce()) {
      yield { server, limit, age: now - limit.heardAt };
    }
  }

  /** True for news, or a limit that is heard again. */
  #learn(server: string, word: LimitWord): boolean {
    const change = this.known.learn(server, word);
    if (change === "changed") {
      const { by, perSecond } = word;
      const age = Math.round(this.#clock() - word.heardAt);
      this.#log.write(
        perSecond === undefined
          ? { event: "server_limit_ended", server, by, age }
          : { event: "server_limited", server, perSecond, by, age },
      );
    }
    return change !== "nothing";
  }

  #messageOf(server: string, word: LimitWord): PeerMessage {
    return { type: "server_limit", server, word: this.#wordMessage(word) };
  }

  #wordMessage({ perSecond, by, heardAt }: LimitWord): LimitWordMessage {
    const age = this.#clock() - heardAt;
    return perSecond === undefined ? { by, age } : { perSecond, by, age };
  }
}
