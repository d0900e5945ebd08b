/**
 * Gets a backend server for each request of this entry: from the one entry that
 * grants for the group, which may be this one.
 *
 * The state of granting is soft. When the granting entry is lost, each entry
 * asks the next one anew for what waits and tells it what runs; nothing of it
 * is stored.
 * @module
 */
import { Desk, grantingEntry, groupParts } from "@sycamorepulley/decisions";
import type {
  AnswerPace,
  Ask,
  AskVerdict,
  GroupParts,
  RunEnd,
} from "@sycamorepulley/decisions";
import type {
  Quota,
  QuotaLeeway,
  ServerRecord,
  ServiceLoad,
} from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import { askOf, messageOf } from "./ask_message.ts";
import { HeldAsk } from "./held_ask.ts";
import type { GrantAnswer } from "./held_ask.ts";
import type { AskMessage, PeerMessage } from "./messages.ts";
import type { PeerEntry, Peers } from "./peers.ts";

const NO_ANSWER: AnswerPace = { tokens: 0, measured: 0, pausePart: 0 };

/** What is asked for one request, with times of this entry's clock. */
export type GrantRequest = Omit<Ask, "id" | "entry">;

/** The fleet as this entry sees it. */
export type FleetView = {
  peers: readonly PeerEntry[];
  /** This entry, but for whom it asks. */
  self: Omit<PeerEntry, "asks">;
  /** See `GroupView`. */
  shares: ReadonlyMap<string, number>;
  stated: number;
};

/** An ask under way. */
export type AskHandle = { id: string; answer: Promise<GrantAnswer> };

/** See the module. */
export class Granter {
  readonly #instance: string;
  readonly #incarnation: string;
  readonly #clock: () => number;
  readonly #log: EventLog;
  readonly #peers: () => Peers;
  readonly #desk: Desk;
  readonly #held = new Map<string, HeldAsk>();
  /** Asks of other entries that wait or run here. */
  readonly #foreign = new Map<string, Ask>();
  #granting: string;
  #parts: GroupParts = { room: 1, quota: 1 };
  #quotas: ReadonlyMap<string, Quota> = new Map();
  #number = 0;
  /** A pump is due at the end of this turn. */
  #pumping = false;

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
    this.#desk = new Desk(options.leeway);
    this.#instance = options.instance;
    this.#incarnation = options.incarnation;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#peers = options.peers;
    this.#granting = options.instance;
  }

  /** The parts of all room and quotas that the group uses. */
  get parts(): GroupParts {
    return this.#parts;
  }

  /** How full each service is; empty where another entry grants. */
  loads(): ServiceLoad[] {
    if (this.#granting !== this.#instance) return [];
    return this.#desk.loads(this.#clock());
  }

  setServers(records: readonly ServerRecord[]): void {
    this.#desk.setServers(records);
    this.#pumpSoon();
  }

  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    this.#quotas = quotas;
    this.#desk.setShares(quotas, this.#parts, this.#clock());
  }

  setLeeway(leeway: QuotaLeeway): void {
    this.#desk.setLeeway(leeway);
    this.setQuotas(this.#quotas);
  }

  /** The entry that this one asks for servers; it may be itself. */
  get granting(): string {
    return this.#granting;
  }

  /** Works out anew who grants, and from which parts this entry does. */
  regroup(view: FleetView): void {
    const { peers, self, shares, stated } = view;
    const entries: PeerEntry[] = [...peers, { ...self, asks: undefined }];
    const staying = entries.filter((entry) => !entry.leaving);
    // Entries that all leave at once have to go on as one group: each for itself
    // would use the whole of every quota.
    const able = staying.length > 0 ? staying : entries;
    const granting = grantingEntry(able) ?? this.#instance;
    const present = entries.map(({ name, listed, asks }) => ({
      name,
      listed,
      asks: this.#instance ===
        (name === this.#instance ? granting : asks),
    }));
    this.#useParts(groupParts({ present, shares, stated }));
    if (granting === this.#granting) return;
    const { room, quota } = this.#parts;
    this.#log.write({
      event: "group_changed",
      granting,
      size: entries.length,
      room: Math.round(room * 1000) / 1000,
      quota: Math.round(quota * 1000) / 1000,
    });
    this.#moveTo(granting);
  }

  #useParts(parts: GroupParts): void {
    const { room, quota } = this.#parts;
    if (parts.room === room && parts.quota === quota) return;
    this.#parts = parts;
    this.#desk.setShares(this.#quotas, parts, this.#clock());
    this.#pumpSoon();
  }

  /** Asks for a server. The ask lives until `withdraw` or `ended`. */
  ask(request: GrantRequest): AskHandle {
    const id = `${this.#incarnation}.${++this.#number}`;
    const ask: Ask = {
      ...request,
      id,
      entry: this.#instance,
    };
    const answer = new Promise<GrantAnswer>((resolve) => {
      this.#held.set(id, new HeldAsk(ask, resolve));
    });
    this.#place(ask);
    return { id, answer };
  }

  /** The request does not run: it no longer waits, or its grant goes unused. */
  withdraw(id: string): void {
    const held = this.#held.get(id);
    if (held === undefined) return;
    this.#held.delete(id);
    if (this.#granting === this.#instance) {
      this.#desk.withdraw(held.ask);
      this.#pumpSoon();
      return;
    }
    this.#peers().send(this.#granting, { type: "withdraw", id });
  }

  firstAnswer(id: string, measured: number): void {
    if (!this.#held.has(id)) return;
    if (this.#granting === this.#instance) {
      this.#desk.firstAnswer(id, measured, this.#clock());
      this.#pumpSoon();
      return;
    }
    this.#peers().send(this.#granting, { type: "first_answer", id, measured });
  }

  /** `pace`: how the answer came after its first token, if it did. */
  ended(id: string, end: RunEnd, pace: AnswerPace = NO_ANSWER): void {
    if (!this.#held.delete(id)) return;
    if (this.#granting === this.#instance) {
      const now = this.#clock();
      this.#desk.restAnswered(id, pace, now);
      this.#desk.ended(id, end, now);
      this.#pumpSoon();
      return;
    }
    this.#peers().send(this.#granting, { type: "ended", id, end, ...pace });
  }

  /** Takes a peer's message about granting; false for any other. */
  received(peer: string, message: PeerMessage): boolean {
    const now = this.#clock();
    switch (message.type) {
      case "ask":
        this.#askedBy(peer, message, now);
        break;
      case "withdraw":
        this.#takeBack(message.id, (ask) => this.#desk.withdraw(ask));
        break;
      case "release":
        this.#takeBack(message.id, (ask) => this.#desk.release(ask));
        break;
      case "first_answer":
        this.#desk.firstAnswer(message.id, message.measured, now);
        break;
      case "ended":
        this.#foreign.delete(message.id);
        this.#desk.restAnswered(message.id, message, now);
        this.#desk.ended(message.id, message.end, now);
        break;
      case "grant":
        this.#answered(message.id, {
          kind: "grant",
          server: message.server,
          by: peer,
        });
        return true;
      case "refuse":
        this.#answered(message.id, {
          kind: "refuse",
          reason: message.reason,
          retryAfter: message.retryAfter,
          seen: {
            free: message.free,
            waiting: message.waiting,
            quotaWait: message.quotaWait,
          },
          by: peer,
        });
        return true;
      default:
        return false;
    }
    this.#pumpSoon();
    return true;
  }

  /** A peer is gone, with its connections to backend servers. */
  lost(peer: string): void {
    for (const [id, ask] of this.#foreign) {
      if (ask.entry === peer) this.#foreign.delete(id);
    }
    this.#desk.forgetEntry(peer);
    this.#pumpSoon();
  }

  /**
   * The same once for all that this turn of the event loop brings. Done for each
   * message, all that waits and all servers were looked through each time, by a
   * granting entry that read its callers 1.3 s late after a restart.
   */
  #pumpSoon(): void {
    if (this.#pumping) return;
    this.#pumping = true;
    setImmediate(() => {
      this.#pumping = false;
      this.pump();
    });
  }

  /** Hands out all that can be decided now. */
  pump(): void {
    for (const verdict of this.#desk.verdicts(this.#clock())) {
      this.#deliver(verdict);
    }
  }

  #place(ask: Ask): void {
    if (this.#granting !== this.#instance) {
      this.#peers().send(this.#granting, messageOf(ask, this.#clock()));
      return;
    }
    const verdict = this.#desk.ask(ask, this.#clock());
    if (verdict !== undefined) this.#deliver(verdict);
    this.#pumpSoon();
  }

  #moveTo(granting: string): void {
    const before = this.#granting;
    this.#granting = granting;
    const now = this.#clock();
    // Before any ask: whoever grants has only the shares of those that it knows
    // to ask it.
    this.#peers().announce();
    if (before === this.#instance) this.#forgetForeign();
    for (const { ask, server } of this.#held.values()) {
      // Left where they were, they would take places there for ever.
      if (before === this.#instance) this.#desk.release(ask);
      else this.#peers().send(before, { type: "release", id: ask.id });
      if (granting !== this.#instance) {
        this.#peers().send(granting, messageOf(ask, now, server));
      } else if (server !== undefined) {
        this.#desk.adopt(ask, server);
      } else {
        this.#place(ask);
      }
    }
    this.pump();
  }

  /** Their entries ask whoever grants now. */
  #forgetForeign(): void {
    for (const ask of this.#foreign.values()) this.#desk.release(ask);
    this.#foreign.clear();
  }

  #askedBy(peer: string, message: AskMessage, now: number): void {
    const ask = askOf(message, peer, now);
    this.#foreign.set(ask.id, ask);
    if (message.runsAt !== undefined) {
      this.#desk.adopt(ask, message.runsAt);
      return;
    }
    const verdict = this.#desk.ask(ask, now);
    if (verdict !== undefined) this.#deliver(verdict);
  }

  #takeBack(id: string, how: (ask: Ask) => void): void {
    const ask = this.#foreign.get(id);
    this.#foreign.delete(id);
    if (ask !== undefined) how(ask);
  }

  #deliver(verdict: AskVerdict): void {
    const { ask } = verdict;
    if (ask.entry === this.#instance) {
      this.#answered(ask.id, ownAnswer(verdict, this.#instance));
      return;
    }
    if (verdict.kind === "grant") {
      const { server } = verdict;
      this.#peers().send(ask.entry, { type: "grant", id: ask.id, server });
      return;
    }
    this.#foreign.delete(ask.id);
    const { reason, retryAfter, seen } = verdict;
    this.#peers().send(ask.entry, {
      type: "refuse",
      id: ask.id,
      reason,
      retryAfter,
      ...seen,
    });
  }

  #answered(id: string, answer: GrantAnswer): void {
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

function ownAnswer(verdict: AskVerdict, by: string): GrantAnswer {
  if (verdict.kind === "grant") {
    return { kind: "grant", server: verdict.server, by };
  }
  const { reason, retryAfter, seen } = verdict;
  return { kind: "refuse", reason, retryAfter, seen, by };
}
