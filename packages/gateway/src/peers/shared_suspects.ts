/**
 * Requests that may crash backend servers, shared between the entries.
 *
 * The granting entry counts crashes, since it knows what each server runs. All
 * entries know the result, so that the next granting entry, an entry that is
 * cut off and one that starts later contain the same requests. Changes are sent
 * at once, and everything is repeated over each new link.
 * @module
 */
import { CrashSuspects, SoleSuspectRule } from "@sycamorepulley/decisions";
import type {
  ServerCrash,
  SuspectStatement,
  SuspectVerdict,
} from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import type { PeerMessage } from "./messages.ts";
import type { Peers } from "./peers.ts";

/** Maximum number of statements in a message. */
const MAXIMUM_STATEMENTS = 256;

/** Suspects known to one entry. */
export class SharedSuspects {
  readonly known = new CrashSuspects(new SoleSuspectRule());
  readonly #clock: () => number;
  readonly #log: EventLog;
  readonly #peers: () => Peers;

  constructor(
    options: { clock: () => number; log: EventLog; peers: () => Peers },
  ) {
    this.#clock = options.clock;
    this.#log = options.log;
    this.#peers = options.peers;
  }

  /** How to handle a request with this fingerprint now. */
  verdict(fingerprint: string): SuspectVerdict {
    return this.known.verdict(fingerprint, this.#clock());
  }

  /** Logs a crash that this entry has recorded as the granting entry. */
  logCrash({ server, running, suspects }: ServerCrash): void {
    this.#log.write({
      event: "server_crashed",
      server,
      running: [...running],
      suspects: [...suspects],
    });
  }

  /** Sends all that has changed to all peers. */
  publishChanges(): void {
    const changes = this.known.takeChanges(this.#clock());
    if (changes.length === 0) return;
    this.#logQuarantines(changes);
    for (const peer of this.#peers().connectedPeers()) {
      this.#send(peer, changes);
    }
  }

  /** Sends everything to a peer. */
  sendAll(peer: string): void {
    this.#send(peer, this.known.statements(this.#clock()));
  }

  /** Merges what a peer sent; `publishes`: passes it on to other peers. */
  merge(statements: readonly SuspectStatement[], publishes: boolean): void {
    this.known.merge(statements, this.#clock());
    if (publishes) this.publishChanges();
    else this.#logQuarantines(this.known.takeChanges(this.#clock()));
  }

  #send(peer: string, statements: readonly SuspectStatement[]): void {
    for (let from = 0; from < statements.length; from += MAXIMUM_STATEMENTS) {
      const message: PeerMessage = {
        type: "suspects",
        statements: statements.slice(from, from + MAXIMUM_STATEMENTS),
      };
      this.#peers().send(peer, message);
    }
  }

  #logQuarantines(changes: readonly SuspectStatement[]): void {
    for (const { fingerprint, kind, crashes, servers } of changes) {
      if (kind !== "quarantined") continue;
      const event = "request_quarantined";
      this.#log.write({ event, fingerprint, crashes, servers });
    }
  }
}
