/**
 * Requests that may crash backend servers, shared between the entries.
 *
 * The granting entry counts crashes, since it knows what each server runs. All
 * entries know of requests that ran in two crashes or more, so that the next
 * granting entry, an entry that is cut off and one that starts later contain
 * the same requests. Changes are sent immediately, and everything is repeated
 * over each new link. A single crash makes a whole batch of requests suspects, most
 * of which never run again; these are not shared.
 * @module
 */
import { CrashSuspects, SoleSuspectRule } from "@sycamorepulley/decisions";
import type {
  DetectedCrash,
  SuspectStatement,
  SuspectVerdict,
} from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import type { PartEvidence } from "../observe/events.ts";
import type { PeerMessage } from "./messages.ts";
import type { Peers } from "./peers.ts";

/** Crashes from which on a suspect is shared. */
const SHARED_FROM = 2;
/** Maximum number of statements in a message. */
const MAXIMUM_STATEMENTS = 256;

/** Suspects known to one entry. */
export class SharedSuspects {
  readonly known = new CrashSuspects(new SoleSuspectRule());
  readonly #clock: () => number;
  readonly #log: EventLog;
  readonly #peers: () => Peers;
  readonly #onSuspectDecision: (statement: SuspectStatement) => void;
  /** Fingerprints that were shared as suspects and have not been cleared. */
  readonly #shared = new Set<string>();

  constructor(
    options: {
      clock: () => number;
      log: EventLog;
      peers: () => Peers;
      /** Called with each shared statement that this entry has decided. */
      onSuspectDecision: (statement: SuspectStatement) => void;
    },
  ) {
    this.#clock = options.clock;
    this.#log = options.log;
    this.#peers = options.peers;
    this.#onSuspectDecision = options.onSuspectDecision;
  }

  /** How to handle a request with these fingerprints now. */
  verdict(fingerprints: readonly string[]): SuspectVerdict {
    return this.known.verdictOf(fingerprints, this.#clock());
  }

  /**
   * Records that a request of this entry was served. If this entry becomes the
   * granting entry, it trusts the parts of the prompt.
   */
  recordServed(promptParts: readonly string[]): void {
    const now = this.#clock();
    for (const part of promptParts) this.known.recordCompletePartRun(part, now);
  }

  /** All that is shared with other entries: quarantines and suspects. */
  sharedStatements(): SuspectStatement[] {
    return this.known.statements(this.#clock())
      .filter(({ crashes }) => crashes >= SHARED_FROM);
  }

  /** Number of quarantined fingerprints. */
  countQuarantined(): number {
    return this.known.statements(this.#clock())
      .filter(({ kind }) => kind === "quarantined").length;
  }

  /** Logs a crash that this entry has recorded as the granting entry. */
  logCrash({ server, runs, evidence }: DetectedCrash): void {
    const parts = new Set(
      runs.flatMap(({ fingerprints }) => fingerprints.slice(1)),
    );
    this.#log.write({
      event: "server_crashed",
      server,
      evidence,
      running: runs.map(({ fingerprints }) => fingerprints[0]!),
      parts: [...parts].map((part) => this.#partEvidence(part)),
      suspects: [...new Set(runs.flatMap(({ suspects }) => suspects))],
    });
  }

  /** Sends all that has changed to all peers. */
  publishChanges(): void {
    const changes = this.#takeSharedChanges();
    if (changes.length === 0) return;
    for (const change of changes) this.#onSuspectDecision(change);
    for (const peer of this.#peers().connectedPeers()) {
      this.#send(peer, changes);
    }
  }

  /** Sends everything that is shared to a peer. */
  sendAll(peer: string): void {
    this.#send(peer, this.sharedStatements());
  }

  /** Merges what a peer sent; `publishes`: passes it on to other peers. */
  merge(statements: readonly SuspectStatement[], publishes: boolean): void {
    this.known.merge(statements, this.#clock());
    if (publishes) this.publishChanges();
    else this.#takeSharedChanges();
  }

  #takeSharedChanges(): SuspectStatement[] {
    const changes = this.known.takeChanges(this.#clock())
      .filter(({ fingerprint, crashes }) =>
        crashes >= SHARED_FROM || this.#shared.has(fingerprint)
      );
    for (const { fingerprint, kind } of changes) {
      if (kind === "clear") this.#shared.delete(fingerprint);
      else this.#shared.add(fingerprint);
    }
    this.#logQuarantines(changes);
    return changes;
  }

  #send(peer: string, statements: readonly SuspectStatement[]): void {
    if (!this.#peers().acceptsSuspects(peer)) return;
    for (let from = 0; from < statements.length; from += MAXIMUM_STATEMENTS) {
      const message: PeerMessage = {
        type: "suspects",
        statements: statements.slice(from, from + MAXIMUM_STATEMENTS),
      };
      this.#peers().send(peer, message);
    }
  }

  #partEvidence(part: string): PartEvidence {
    return { part, ...this.known.evidence(part, this.#clock()) };
  }

  #logQuarantines(changes: readonly SuspectStatement[]): void {
    for (const { fingerprint, kind, crashes, servers, remaining } of changes) {
      if (kind !== "quarantined") continue;
      this.#log.write({
        event: "request_quarantined",
        fingerprint,
        crashes,
        servers,
        duration: Math.round(remaining),
      });
    }
  }
}
