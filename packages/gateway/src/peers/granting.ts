/**
 * What this entry grants: to itself, and to the entries that ask it.
 *
 * All of it is soft. When the granting entry is lost, each entry asks the next
 * one anew for what waits and tells it what runs; nothing of it is stored.
 * @module
 */
import { GroupScheduler } from "@sycamorepulley/decisions";
import type {
  GrantDecision,
  GrantRequest,
  GroupFractions,
  Quota,
  QuotaLeeway,
  RunOutcome,
  ServerRecord,
  ServiceLoad,
  StreamTiming,
} from "@sycamorepulley/decisions";
import { askOf } from "./ask_message.ts";
import type { GrantResult } from "./pending_grant.ts";
import type { AskMessage, PeerMessage } from "./messages.ts";
import type { Peers } from "./peers.ts";
import type { SharedServerLimits } from "./shared_server_limits.ts";

/** See the module. */
export class Granting {
  readonly #instance: string;
  readonly #clock: () => number;
  readonly #peers: () => Peers;
  readonly #answered: (id: string, answer: GrantResult) => void;
  readonly #desk: GroupScheduler;
  readonly #limits: SharedServerLimits;
  /** Asks of other entries that wait or run here. */
  readonly #foreign = new Map<string, GrantRequest>();
  #parts: GroupFractions = { room: 1, quota: 1 };
  #quotas: ReadonlyMap<string, Quota> = new Map();
  /** A pump is due at the end of this turn. */
  #pumping = false;

  constructor(
    options: {
      instance: string;
      clock: () => number;
      peers: () => Peers;
      leeway: QuotaLeeway;
      limits: SharedServerLimits;
      /** Takes the answer to an ask of this entry. */
      answered: (id: string, answer: GrantResult) => void;
    },
  ) {
    this.#instance = options.instance;
    this.#clock = options.clock;
    this.#peers = options.peers;
    this.#answered = options.answered;
    this.#limits = options.limits;
    this.#desk = new GroupScheduler(options.leeway, options.limits.known);
  }

  /** The parts of all room and quotas that are granted from here. */
  get parts(): GroupFractions {
    return this.#parts;
  }

  /** How full each service is; empty while nobody asks this entry. */
  loads(): ServiceLoad[] {
    return this.#parts.room === 0 ? [] : this.#desk.loads(this.#clock());
  }

  setServers(records: readonly ServerRecord[]): void {
    this.#desk.setServers(records);
    this.#pumpSoon();
  }

  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    this.#quotas = quotas;
    this.#desk.setQuotas(quotas, this.#parts, this.#clock());
  }

  setLeeway(leeway: QuotaLeeway): void {
    this.#desk.setLeeway(leeway);
    this.setQuotas(this.#quotas);
  }

  setParts(parts: GroupFractions): void {
    const { room, quota } = this.#parts;
    if (parts.room === room && parts.quota === quota) return;
    this.#parts = parts;
    this.#desk.setQuotas(this.#quotas, parts, this.#clock());
    this.#pumpSoon();
  }

  ask(ask: GrantRequest): void {
    const verdict = this.#desk.submit(ask, this.#clock());
    if (verdict !== undefined) this.#deliver(verdict);
    this.#pumpSoon();
  }

  /** See {@link GroupScheduler.withdraw}. */
  withdraw(ask: GrantRequest): void {
    this.#desk.withdraw(ask);
    this.#pumpSoon();
  }

  /** See {@link GroupScheduler.release}. */
  release(ask: GrantRequest): void {
    this.#desk.release(ask);
    this.#pumpSoon();
  }

  /** Counts a run that another entry granted before. */
  adopt(ask: GrantRequest, server: string): void {
    this.#desk.adopt(ask, server);
    this.#pumpSoon();
  }

  firstAnswer(id: string, measured: number): void {
    this.#desk.recordResponseStart(id, measured, this.#clock());
    this.#pumpSoon();
  }

  ended(id: string, end: RunOutcome, pace: StreamTiming): void {
    const now = this.#clock();
    this.#desk.recordStreamTiming(id, pace, now);
    this.#desk.recordEnd(id, end, now);
    this.#pumpSoon();
  }

  /** Takes a peer's message about its asks; false for any other. */
  received(peer: string, message: PeerMessage): boolean {
    switch (message.type) {
      case "ask":
        this.#askedBy(peer, message);
        return true;
      case "withdraw":
        this.#takeBack(message.id, (ask) => this.withdraw(ask));
        return true;
      case "release":
        this.#takeBack(message.id, (ask) => this.release(ask));
        return true;
      case "first_answer":
        this.firstAnswer(message.id, message.measured);
        return true;
      case "ended":
        this.#foreign.delete(message.id);
        this.ended(message.id, message.end, message);
        return true;
      default:
        return false;
    }
  }

  /** A peer is gone, with its connections to backend servers. */
  lost(peer: string): void {
    for (const [id, ask] of this.#foreign) {
      if (ask.entry === peer) this.#foreign.delete(id);
    }
    this.#desk.removeEntry(peer);
    this.#pumpSoon();
  }

  /** Hands out all that can be decided now. */
  pump(): void {
    for (const verdict of this.#desk.decide(this.#clock())) {
      this.#deliver(verdict);
    }
  }

  /** The same once for all that this turn of the event loop brings. */
  #pumpSoon(): void {
    if (this.#pumping) return;
    this.#pumping = true;
    setImmediate(() => {
      this.#pumping = false;
      this.pump();
    });
  }

  #askedBy(peer: string, message: AskMessage): void {
    const ask = askOf(message, peer, this.#clock());
    this.#foreign.set(ask.id, ask);
    if (message.runsAt === undefined) this.ask(ask);
    else this.adopt(ask, message.runsAt);
  }

  #takeBack(id: string, how: (ask: GrantRequest) => void): void {
    const ask = this.#foreign.get(id);
    this.#foreign.delete(id);
    if (ask !== undefined) how(ask);
  }

  #deliver(verdict: GrantDecision): void {
    const { request: ask } = verdict;
    if (ask.entry === this.#instance) {
      this.#answered(ask.id, ownAnswer(verdict, this.#instance));
      return;
    }
    if (verdict.kind === "grant") {
      const { server } = verdict;
      const limit = this.#limits.inGrant(server);
      const message = { type: "grant" as const, id: ask.id, server };
      this.#peers().send(ask.entry, limit ? { ...message, limit } : message);
      return;
    }
    this.#foreign.delete(ask.id);
    const { reason, retryAfter, inputs: seen } = verdict;
    this.#peers().send(ask.entry, {
      type: "refuse",
      id: ask.id,
      reason,
      retryAfter,
      ...seen,
    });
  }
}

function ownAnswer(verdict: GrantDecision, by: string): GrantResult {
  if (verdict.kind === "grant") {
    return { kind: "grant", server: verdict.server, by };
  }
  const { reason, retryAfter, inputs: inputs } = verdict;
  return { kind: "refuse", reason, retryAfter, seen: inputs, by };
}
