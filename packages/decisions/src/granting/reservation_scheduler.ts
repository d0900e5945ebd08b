/**
 * Late binding of requests to backend servers: reservations wait at the
 * sidecars, each sidecar offers free capacity of its server as a grant, and the
 * request itself is sent only in response to a grant.
 *
 * Backend servers differ in speed, and load reports are seconds old. If entries
 * pushed requests to servers, a request would be sent to a server that only
 * looks idle, and wait there behind work that the engine admits in order of
 * arrival. An open grant occupies capacity, so it expires soon: an entry that
 * has crashed or is paused must not keep a server idle.
 * @module
 */
import type { ConcurrencyLimit } from "../limits/mod.ts";
import type { WaitingQueue, WaitingReservation } from "../queueing/mod.ts";
import { StatedRateLimiter } from "../server_limits/mod.ts";
import type {
  ReservationDecision,
  ReservationRefusalReason,
} from "./reservation_decision.ts";

/**
 * Milliseconds after which an unused grant expires and its capacity is offered
 * to another reservation. A round trip within a region takes about 2 ms, a
 * pause of an entry for garbage collection tens of milliseconds.
 */
export const GRANT_TIMEOUT = 250;

/**
 * Milliseconds that a suspect (a request that may have crashed a server) waits
 * for the server to become idle before other requests are held back.
 */
const SUSPECT_WAIT = 1000;
/**
 * Maximum milliseconds for which other requests are held back for a suspect;
 * longer than most responses take.
 */
const MAXIMUM_HOLD_BACK = 30_000;

type OpenGrant = {
  reservation: WaitingReservation;
  grant: number;
  expiresAt: number;
};

/** Result of redeeming a grant; invalid if it has expired. */
export type Redemption = { valid: true; reservation: WaitingReservation } | {
  valid: false;
};

/** Holds the queue, the limit and the open grants of one backend server. */
export class ReservationScheduler {
  readonly #queue: WaitingQueue;
  readonly #limit: ConcurrencyLimit;
  readonly #openGrants = new Map<string, OpenGrant>();
  readonly #running = new Map<string, WaitingReservation>();
  #nextGrant = 1;
  #activeSuspect: string | undefined;
  readonly #waitingSuspects = new Set<string>();
  /** When a suspect first had to wait because the server was not idle. */
  #suspectWaitsSince: number | undefined;
  #closedFor: ReservationRefusalReason | undefined;
  #rateLimiter: StatedRateLimiter | undefined;
  #pausedUntil = -Infinity;

  constructor(options: { queue: WaitingQueue; limit: ConcurrencyLimit }) {
    this.#queue = options.queue;
    this.#limit = options.limit;
  }

  get running(): number {
    return this.#running.size;
  }

  /** Requests that occupy capacity: running ones and open grants. */
  get occupied(): number {
    return this.#running.size + this.#openGrants.size;
  }

  get openGrants(): number {
    return this.#openGrants.size;
  }

  get waiting(): number {
    return this.#queue.size;
  }

  /** Lowest tier that would be queued now; `undefined` if all would be. */
  get lowestTierRank(): number | undefined {
    return this.#queue.lowestTierRank();
  }

  /** Sets the rate that the server accepts; `undefined` removes the limit. */
  setRateLimit(
    perSecond: number | undefined,
    now: number,
  ): ReservationDecision[] {
    if (perSecond === undefined) this.#rateLimiter = undefined;
    else {
      this.#rateLimiter ??= new StatedRateLimiter(now);
      this.#rateLimiter.configure(perSecond, 1, now);
    }
    return this.#grantAll(now);
  }

  /**
   * Grants nothing for `duration` milliseconds, as the server requests. A
   * longer pause that is in force remains.
   */
  pause(duration: number, now: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, now + duration);
  }

  /** Milliseconds until grants are made again; 0 without a pause. */
  remainingPause(now: number): number {
    return Math.max(0, this.#pausedUntil - now);
  }

  /** Queues a reservation, or refuses it; may grant it at once. */
  reserve(reservation: WaitingReservation, now: number): ReservationDecision[] {
    if (this.#closedFor) return [refuse(reservation, this.#closedFor)];
    const result = this.#queue.offer(reservation, now);
    if (!result.queued) return [refuse(reservation, result.reason)];
    if (reservation.suspect) this.#waitingSuspects.add(reservation.id);
    return [
      ...result.evicted.map((evicted) => this.#drop(evicted, "evicted")),
      ...this.#grantAll(now),
    ];
  }

  /** Removes a reservation or an open grant; running requests continue. */
  withdraw(id: string, now: number): ReservationDecision[] {
    if (this.#queue.withdraw(id)) {
      this.#removeWaitingSuspect(id);
      return this.#grantAll(now);
    }
    if (!this.#openGrants.has(id)) return [];
    this.#returnGrant(id, now);
    return this.#grantAll(now);
  }

  /**
   * Starts the request that arrived in response to a grant. If the grant has
   * expired its number is unknown: the capacity was offered to another
   * reservation, so the request must not run.
   */
  redeem(id: string, grant: number): Redemption {
    const open = this.#openGrants.get(id);
    if (open?.grant !== grant) return { valid: false };
    this.#openGrants.delete(id);
    this.#running.set(id, open.reservation);
    return { valid: true, reservation: open.reservation };
  }

  recordFirstToken(id: string, now: number): void {
    this.#limit.recordFirstToken(id, now);
  }

  recordTokens(
    id: string,
    outputTokens: number,
    now: number,
  ): ReservationDecision[] {
    this.#limit.recordTokens(id, outputTokens, now);
    return this.#grantAll(now);
  }

  /** Removes a request that has ended, which frees its capacity. */
  recordEnd(
    id: string,
    outcome: "ok" | "failed" | "cancelled",
    now: number,
  ): ReservationDecision[] {
    if (!this.#running.delete(id)) return [];
    this.#limit.recordEnd(id, outcome, now);
    this.#endActiveSuspect(id);
    return this.#grantAll(now);
  }

  /**
   * Expires grants, and refuses reservations that can no longer meet their
   * deadline.
   */
  tick(now: number): ReservationDecision[] {
    const decisions: ReservationDecision[] = [];
    for (const open of [...this.#openGrants.values()]) {
      if (open.expiresAt > now) continue;
      this.#returnGrant(open.reservation.id, now);
      decisions.push(refuse(open.reservation, "grant_lapsed"));
    }
    for (const expired of this.#queue.expire(now)) {
      decisions.push(this.#drop(expired, "deadline"));
    }
    decisions.push(...this.#grantAll(now));
    return decisions;
  }

  /** Refuses all waiting and future reservations; running requests finish. */
  close(reason: ReservationRefusalReason, now: number): ReservationDecision[] {
    this.#closedFor = reason;
    const decisions: ReservationDecision[] = [];
    for (const open of [...this.#openGrants.values()]) {
      this.#returnGrant(open.reservation.id, now);
      decisions.push(refuse(open.reservation, reason));
    }
    for (;;) {
      const reservation = this.#queue.take(now, () => true);
      if (!reservation) break;
      decisions.push(this.#drop(reservation, reason));
    }
    for (const expired of this.#queue.expire(now)) {
      decisions.push(this.#drop(expired, "deadline"));
    }
    return decisions;
  }

  /** Accepts reservations again after {@link ReservationScheduler.close}. */
  open(): void {
    this.#closedFor = undefined;
  }

  #grantAll(now: number): ReservationDecision[] {
    const decisions: ReservationDecision[] = [];
    if (this.#closedFor || now < this.#pausedUntil) return decisions;
    for (;;) {
      const reservation = this.#queue.take(
        now,
        (next) => this.#admits(next, now),
      );
      if (!reservation) return decisions;
      decisions.push(this.#grant(reservation, now));
    }
  }

  /**
   * A suspect runs alone, so that a crash affects no other request. Under load
   * a server never becomes idle by itself, so after a while other requests are
   * held back until the suspect has run.
   */
  #admits(reservation: WaitingReservation, now: number): boolean {
    if (this.#activeSuspect !== undefined) return false;
    if (this.#rateLimiter?.allows(now) === false) return false;
    if (reservation.suspect) return this.#admitsSuspect(now);
    const waitsSince = this.#suspectWaitsSince ?? now;
    const holdsBack = now - waitsSince >= SUSPECT_WAIT &&
      now - waitsSince < SUSPECT_WAIT + MAXIMUM_HOLD_BACK;
    return !holdsBack && this.#limit.admits(reservation);
  }

  #admitsSuspect(now: number): boolean {
    if (this.occupied === 0) return true;
    this.#suspectWaitsSince ??= now;
    return false;
  }

  /** Other requests are admitted again once no suspect waits. */
  #removeWaitingSuspect(id: string): void {
    this.#waitingSuspects.delete(id);
    if (this.#waitingSuspects.size === 0) this.#suspectWaitsSince = undefined;
  }

  #drop(
    reservation: WaitingReservation,
    reason: ReservationRefusalReason,
  ): ReservationDecision {
    this.#removeWaitingSuspect(reservation.id);
    return refuse(reservation, reason);
  }

  #grant(reservation: WaitingReservation, now: number): ReservationDecision {
    const grant = this.#nextGrant;
    this.#nextGrant += 1;
    this.#limit.recordStart(reservation.id, reservation.cost, now);
    this.#rateLimiter?.take(now);
    this.#openGrants.set(reservation.id, {
      reservation,
      grant,
      expiresAt: now + GRANT_TIMEOUT,
    });
    if (reservation.suspect) {
      this.#removeWaitingSuspect(reservation.id);
      this.#activeSuspect = reservation.id;
    }
    return { kind: "grant", id: reservation.id, grant, lapse: GRANT_TIMEOUT };
  }

  #returnGrant(id: string, now: number): void {
    this.#openGrants.delete(id);
    this.#rateLimiter?.refund();
    this.#limit.recordEnd(id, "cancelled", now);
    this.#endActiveSuspect(id);
  }

  #endActiveSuspect(id: string): void {
    if (this.#activeSuspect === id) this.#activeSuspect = undefined;
  }
}

function refuse(
  reservation: WaitingReservation,
  reason: ReservationRefusalReason,
): ReservationDecision {
  return { kind: "refuse", id: reservation.id, reason };
}
