/**
 * Gets a backend server for each request of this entry: from the one entry that
 * grants for the group, which may be this one.
 * @module
 */
import { groupFractions, selectGrantingEntry } from "@sycamorepulley/decisions";
import type {
  GrantRequest,
  GroupFractions,
  Quota,
  QuotaLeeway,
  RunOutcome,
  ServerRecord,
  ServiceLoad,
  StreamTiming,
} from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import { messageOf } from "./ask_message.ts";
import { Granting } from "./granting.ts";
import { HeldAsk } from "./pending_grant.ts";
import type { GrantResult } from "./pending_grant.ts";
import type { PeerMessage } from "./messages.ts";
import type { PeerEntry, Peers } from "./peers.ts";
import { SharedServerLimits } from "./shared_server_limits.ts";

const NO_ANSWER: StreamTiming = { tokens: 0, measured: 0, pausePart: 0 };

/** What is asked for one request, with times of this entry's clock. */
export type GrantRequestOptions = Omit<GrantRequest, "id" | "entry">;

/** The fleet as this entry sees it. */
export type FleetView = {
  peers: readonly PeerEntry[];
  /** This entry, but for whom it asks. */
  self: Omit<PeerEntry, "asks" | "probePending">;
  /** See `GroupView`. */
  shares: ReadonlyMap<string, number>;
  stated: number;
};

/** An ask under way. */
export type AskHandle = { id: string; result: Promise<GrantResult> };

/** See the module. */
export class GrantClient {
  readonly #instance: string;
  readonly #incarnation: string;
  readonly #clock: () => number;
  readonly #log: EventLog;
  readonly #peers: () => Peers;
  readonly #own: Granting;
  /** What servers state of their limits. */
  readonly limits: SharedServerLimits;
  readonly #held = new Map<string, HeldAsk>();
  #granting: string;
  #number = 0;

  constructor(
    options: {
      instance: string;
      incarnation: string;
      clock: () => number;
      log: EventLog;
      peers: () => Peers;
      leeway: QuotaLeeway;
    },
  ) {
    this.#instance = options.instance;
    this.#incarnation = options.incarnation;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#peers = options.peers;
    this.#granting = options.instance;
    this.limits = new SharedServerLimits({
      ...options,
      send: (message) => {
        if (!this.#grantsItself) this.#tell(message);
      },
    });
    this.#own = new Granting({
      ...options,
      limits: this.limits,
      answered: (id, answer) => this.#answered(id, answer),
    });
  }

  /** See {@link Granting.parts}. */
  get fractions(): GroupFractions {
    return this.#own.parts;
  }

  /** The entry that this one asks for servers; it may be itself. */
  get granting(): string {
    return this.#granting;
  }

  /** See {@link Granting.loads}. */
  loads(): ServiceLoad[] {
    return this.#own.loads();
  }

  setServers(records: readonly ServerRecord[]): void {
    this.#own.setServers(records);
  }

  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    this.#own.setQuotas(quotas);
  }

  setLeeway(leeway: QuotaLeeway): void {
    this.#own.setLeeway(leeway);
  }

  /** Works out anew who grants, and from which parts this entry does. */
  regroup(view: FleetView): void {
    const { peers, self, shares, stated } = view;
    const entries: PeerEntry[] = [
      ...peers,
      { ...self, asks: undefined, probePending: false },
    ];
    const staying = entries.filter((entry) => !entry.leaving);
    // Entries that all leave at once have to go on as one group: each for itself
    // would use the whole of every quota.
    const able = staying.length > 0 ? staying : entries;
    // The successor may have failed together with the previous granting entry.
    const responsive = able.filter((entry) => !entry.probePending);
    const granting = selectGrantingEntry(responsive) ?? this.#instance;
    const present = entries.map(({ name, listed, asks }) => {
      const asked = name === this.#instance ? granting : asks;
      return { name, listed, asksThisEntry: asked === this.#instance };
    });
    this.#own.setParts(groupFractions({ present, shares, stated }));
    if (granting === this.#granting) return;
    const { room, quota } = this.fractions;
    this.#log.write({
      event: "group_changed",
      granting,
      size: entries.length,
      room: Math.round(room * 1000) / 1000,
      quota: Math.round(quota * 1000) / 1000,
    });
    this.#moveTo(granting);
  }

  /** Asks for a server. The ask lives until `withdraw` or `ended`. */
  submit(request: GrantRequestOptions): AskHandle {
    const id = `${this.#incarnation}.${++this.#number}`;
    const ask: GrantRequest = {
      ...request,
      id,
      entry: this.#instance,
    };
    const answer = new Promise<GrantResult>((resolve) => {
      this.#held.set(id, new HeldAsk(ask, resolve));
    });
    this.#place(ask);
    return { id, result: answer };
  }

  /** The request does not run: it no longer waits, or its grant goes unused. */
  withdraw(id: string): void {
    const held = this.#held.get(id);
    if (held === undefined) return;
    this.#held.delete(id);
    if (this.#grantsItself) this.#own.withdraw(held.ask);
    else this.#tell({ type: "withdraw", id });
  }

  recordResponseStart(id: string, measured: number): void {
    if (!this.#held.has(id)) return;
    if (this.#grantsItself) this.#own.firstAnswer(id, measured);
    else this.#tell({ type: "first_answer", id, measured });
  }

  /** `pace`: how the answer came after its first token, if it did. */
  recordEnd(id: string, end: RunOutcome, pace: StreamTiming = NO_ANSWER): void {
    if (!this.#held.delete(id)) return;
    if (this.#grantsItself) this.#own.ended(id, end, pace);
    else this.#tell({ type: "ended", id, end, ...pace });
  }

  /** Takes a peer's message about granting; false for any other. */
  received(peer: string, message: PeerMessage): boolean {
    switch (message.type) {
      case "server_limit":
        this.limits.told(message.server, message.observation);
        return true;
      case "grant":
        if (message.limit !== undefined) {
          this.limits.told(message.server, message.limit);
        }
        this.#answered(message.id, {
          kind: "grant",
          server: message.server,
          by: peer,
        });
        return true;
      case "refuse": {
        const { id, reason, retryAfter } = message;
        const { free, waiting, quotaWait, standing } = message;
        const seen = { free, waiting, quotaWait, standing };
        const answer = { reason, retryAfter, seen, by: peer };
        this.#answered(id, { kind: "refuse", ...answer });
        return true;
      }
      default:
        return this.#own.received(peer, message);
    }
  }

  /** A peer is gone, with its connections to backend servers. */
  lost(peer: string): void {
    this.#own.lost(peer);
  }

  /** A new link to a peer: what it was told before may be lost. */
  joined(peer: string): void {
    if (peer !== this.#granting) return;
    this.limits.tellAll();
    for (const { ask, server } of this.#held.values()) {
      this.#tell(messageOf(ask, this.#clock(), server));
    }
  }

  /** Hands out all that can be decided now. */
  pump(): void {
    this.#own.pump();
  }

  get #grantsItself(): boolean {
    return this.#granting === this.#instance;
  }

  #tell(message: PeerMessage): void {
    this.#peers().send(this.#granting, message);
  }

  #place(ask: GrantRequest): void {
    if (this.#grantsItself) this.#own.ask(ask);
    else this.#tell(messageOf(ask, this.#clock()));
  }

  #moveTo(granting: string): void {
    const before = this.#granting;
    this.#granting = granting;
    // Before any ask: whoever grants has only the shares of those that it knows
    // to ask it.
    this.#peers().announceTo([before, granting]);
    this.limits.tellAll();
    for (const { ask, server } of this.#held.values()) {
      // Left where they were, they would take places there for ever.
      if (before === this.#instance) this.#own.release(ask);
      else this.#peers().send(before, { type: "release", id: ask.id });
      if (server === undefined) this.#place(ask);
      else if (this.#grantsItself) this.#own.adopt(ask, server);
      else this.#tell(messageOf(ask, this.#clock(), server));
    }
    this.pump();
  }

  #answered(id: string, answer: GrantResult): void {
    const held = this.#held.get(id);
    if (held === undefined || held.server !== undefined) {
      // It was withdrawn meanwhile, or another entry granted it before.
      if (answer.kind === "grant" && answer.by !== this.#instance) {
        this.#peers().send(answer.by, { type: "withdraw", id });
      }
      return;
    }
    held.by = answer.by;
    if (answer.kind === "grant") held.server = answer.server;
    else this.#held.delete(id);
    held.resolve(answer);
  }
}
