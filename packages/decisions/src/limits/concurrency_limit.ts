/** Limits how many requests a backend server runs at once. @module */
import type {
  Cost,
  WaitingReservation,
} from "../queueing/waiting_reservation.ts";

/** How a running request ended. */
export type Outcome = "ok" | "failed" | "cancelled";

/**
 * An adaptive concurrency limit, derived from the measured behaviour of the
 * server rather than configured. A request counts as running from
 * {@link ConcurrencyLimit.recordStart} to {@link ConcurrencyLimit.recordEnd};
 * events with unknown ids are ignored.
 */
export abstract class ConcurrencyLimit {
  /**
   * Returns whether the reservation may start now. Does not allocate capacity.
   */
  abstract admits(reservation: WaitingReservation): boolean;

  /** Records that the request was granted; it uses capacity from now on. */
  abstract recordStart(id: string, cost: Cost, now: number): void;

  /**
   * Records that the first token, or the head of a plain response, has arrived.
   */
  abstract recordFirstToken(id: string, now: number): void;

  /**
   * Records that `outputTokens` tokens have arrived since the previous call.
   */
  abstract recordTokens(id: string, outputTokens: number, now: number): void;

  abstract recordEnd(id: string, outcome: Outcome, now: number): void;

  /** Number of running requests. */
  abstract get running(): number;

  /** Maximum number of running requests; at least 1. */
  abstract get limit(): number;

  get isIdle(): boolean {
    return this.running === 0;
  }
}
