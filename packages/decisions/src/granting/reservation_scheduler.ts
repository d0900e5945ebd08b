/**
 * Late binding at the sidecar: reservations wait here, the backend server's
 * free room is offered as a grant, and the request itself arrives only in
 * answer to one.
 *
 * Load pattern: unlike backend servers and load reports that are seconds old.
 * Without it an entry pushes the request to a server that only looks free,
 * and it waits behind work that the engine admits as it comes. A grant holds
 * room while it is open, so it lapses soon: an entry that died or is paused
 * must not keep a server idle.
 * @module
 */
import type { ConcurrencyLimit } from "../limits/mod.ts";
import type { WaitingQueue, WaitingReservation } from "../queueing/mod.ts";
import { LimitedPace } from "../server_limits/mod.ts";
import type {
  ReservationDecision,
  ReservationRefusalReason,
} from "./reservation_decision.ts";

/**
 * A round trip within a region takes about 2 ms; an entry that stalls for
 * garbage collection takes tens. Beyond that the room is better offered on.
 */
export const GRANT_TIMEOUT = 250;

/** Milliseconds that a suspect waits for the server to empty by itself. */
const SUSPECT_PATIENCE = 1000;
/**
 * Milliseconds that a server is kept from others for a suspect's sake; longer
 * than most answers.
 */
const LONGEST_EMPTYING = 30_000;

type OpenGrant = {
  waiting: WaitingReservation;
  grant: number;
  lapsesAt: number;
};

/** What a grant's redemption found. */
export type Redemption = { valid: true; waiting: WaitingReservation } | {
  valid: false;
};

/** Queue, limit and open grants of one backend server. */
export class ReservationScheduler {
  readonly #queue: WaitingQueue;
  readonly #limit: ConcurrencyLimit;
  readonly #granted = new Map<string, OpenGrant>();
  readonly #running = new Map<string, WaitingReservation>();
  #nextGrant = 1;
  #suspectAtWork: string | undefined;
  readonly #suspectsWaiting = new Set<string>();
  /** When a suspect was first passed over for want of an empty server. */
  #suspectSince: number | undefined;
  #closed: ReservationRefusalReason | undefined;
  #pace: LimitedPace | undefined;

  constructor(options: { queue: WaitingQueue; limit: ConcurrencyLimit }) {
    this.#queue = options.queue;
    this.#limit = options.limit;
  }

  get running(): number {
    return this.#running.size;
  }

  /** Requests that hold room: running ones and open grants. */
  get occupied(): number {
    return this.#running.size + this.#granted.size;
  }

  /** Open grants. */
  get openGrants(): number {
    return this.#granted.size;
  }

  get waiting(): number {
    return this.#queue.size;
  }

  /** Lowest tier that would be queued now; undefined while all would be. */
  get lowestTierRank(): number | undefined {
    return this.#queue.lowestTierRank();
  }

  /** The server takes `perSecond` requests a second; any if `undefined`. */
  setRateLimit(
    perSecond: number | undefined,
    now: number,
  ): ReservationDecision[] {
    if (perSecond === undefined) this.#pace = undefined;
    else {
      this.#pace ??= new LimitedPace(now);
      this.#pace.configure(perSecond, 1, now);
    }
    return this.#grantAll(now);
  }

  /** Takes a reservation in, or refuses it; may grant at once. */
  reserve(waiting: WaitingReservation, now: number): ReservationDecision[] {
    if (this.#closed) return [refuse(waiting, this.#closed)];
    const offer = this.#queue.offer(waiting, now);
    if (!offer.queued) return [refuse(waiting, offer.reason)];
    if (waiting.suspect) this.#suspectsWaiting.add(waiting.id);
    return [
      ...offer.evicted.map((evicted) => this.#drop(evicted, "evicted")),
      ...this.#grantAll(now),
    ];
  }

  /** Forgets a reservation or an open grant; running requests stay. */
  withdraw(id: string, now: number): ReservationDecision[] {
    if (this.#queue.withdraw(id)) {
      this.#forgetSuspect(id);
      return this.#grantAll(now);
    }
    if (!this.#granted.has(id)) return [];
    this.#returnGrant(id, now);
    return this.#grantAll(now);
  }

  /**
   * The request came in answer to a grant. A lapsed grant answered late finds
   * its number gone: the room was offered on, so the request must not run.
   */
  redeem(id: string, grant: number): Redemption {
    const open = this.#granted.get(id);
    if (open?.grant !== grant) return { valid: false };
    this.#granted.delete(id);
    this.#running.set(id, open.waiting);
    return { valid: true, waiting: open.waiting };
  }

  firstToken(id: string, now: number): void {
    this.#limit.firstToken(id, now);
  }

  progressed(
    id: string,
    outputTokens: number,
    now: number,
  ): ReservationDecision[] {
    this.#limit.progressed(id, outputTokens, now);
    return this.#grantAll(now);
  }

  /** A running request ended and gives its room back. */
  finished(
    id: string,
    outcome: "ok" | "failed" | "cancelled",
    now: number,
  ): ReservationDecision[] {
    if (!this.#running.delete(id)) return [];
    this.#limit.finished(id, outcome, now);
    this.#releaseSuspect(id);
    return this.#grantAll(now);
  }

  /** Lets grants lapse and refuses what can't meet its deadline any more. */
  tick(now: number): ReservationDecision[] {
    const decisions: ReservationDecision[] = [];
    for (const open of [...this.#granted.values()]) {
      if (open.lapsesAt > now) continue;
      this.#returnGrant(open.waiting.id, now);
      decisions.push(refuse(open.waiting, "grant_lapsed"));
    }
    for (const expired of this.#queue.expire(now)) {
      decisions.push(this.#drop(expired, "deadline"));
    }
    decisions.push(...this.#grantAll(now));
    return decisions;
  }

  /** Refuses all that waits and all that comes; running requests finish. */
  close(cause: ReservationRefusalReason, now: number): ReservationDecision[] {
    this.#closed = cause;
    const decisions: ReservationDecision[] = [];
    for (const open of [...this.#granted.values()]) {
      this.#returnGrant(open.waiting.id, now);
      decisions.push(refuse(open.waiting, cause));
    }
    for (;;) {
      const waiting = this.#queue.take(now, () => true);
      if (!waiting) break;
      decisions.push(this.#drop(waiting, cause));
    }
    for (const expired of this.#queue.expire(now)) {
      decisions.push(this.#drop(expired, "deadline"));
    }
    return decisions;
  }

  /** Takes reservations again after {@link close}. */
  open(): void {
    this.#closed = undefined;
  }

  #grantAll(now: number): ReservationDecision[] {
    const decisions: ReservationDecision[] = [];
    if (this.#closed) return decisions;
    for (;;) {
      const waiting = this.#queue.take(
        now,
        (next) => this.#admits(next, now),
      );
      if (!waiting) return decisions;
      decisions.push(this.#grant(waiting, now));
    }
  }

  /**
   * A request that may have crashed a server runs with nothing beside it:
   * what it takes down is then only itself. A busy server never empties by
   * itself, so after a while nothing else is let in before the suspect.
   */
  #admits(waiting: WaitingReservation, now: number): boolean {
    if (this.#suspectAtWork !== undefined) return false;
    if (this.#pace?.allows(now) === false) return false;
    if (waiting.suspect) return this.#admitsSuspect(now);
    const held = this.#suspectSince ?? now;
    const emptying = now - held >= SUSPECT_PATIENCE &&
      now - held < SUSPECT_PATIENCE + LONGEST_EMPTYING;
    return !emptying && this.#limit.admits(waiting);
  }

  #admitsSuspect(now: number): boolean {
    if (this.occupied === 0) return true;
    this.#suspectSince ??= now;
    return false;
  }

  /** No longer waits; a server that emptied for nobody else serves again. */
  #forgetSuspect(id: string): void {
    this.#suspectsWaiting.delete(id);
    if (this.#suspectsWaiting.size === 0) this.#suspectSince = undefined;
  }

  #drop(
    waiting: WaitingReservation,
    reason: ReservationRefusalReason,
  ): ReservationDecision {
    this.#forgetSuspect(waiting.id);
    return refuse(waiting, reason);
  }

  #grant(waiting: WaitingReservation, now: number): ReservationDecision {
    const grant = this.#nextGrant;
    this.#nextGrant += 1;
    this.#limit.started(waiting.id, waiting.cost, now);
    this.#pace?.take(now);
    this.#granted.set(waiting.id, {
      waiting,
      grant,
      lapsesAt: now + GRANT_TIMEOUT,
    });
    if (waiting.suspect) {
      this.#forgetSuspect(waiting.id);
      this.#suspectAtWork = waiting.id;
    }
    return { kind: "grant", id: waiting.id, grant, lapse: GRANT_TIMEOUT };
  }

  #returnGrant(id: string, now: number): void {
    this.#granted.delete(id);
    this.#pace?.giveBack();
    this.#limit.finished(id, "cancelled", now);
    this.#releaseSuspect(id);
  }

  #releaseSuspect(id: string): void {
    if (this.#suspectAtWork === id) this.#suspectAtWork = undefined;
  }
}

function refuse(
  waiting: WaitingReservation,
  reason: ReservationRefusalReason,
): ReservationDecision {
  return { kind: "refuse", id: waiting.id, reason };
}
