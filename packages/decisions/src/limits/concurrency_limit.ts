/** How much a backend server may run at once. @module */
import type {
  Cost,
  WaitingReservation,
} from "../queueing/waiting_reservation.ts";

/** How a running request ended. */
export type Outcome = "ok" | "failed" | "cancelled";

/**
 * Found from what the server shows, never set by hand. A request counts as
 * running from `started` to `finished`; unknown ids are ignored.
 */
export abstract class ConcurrencyLimit {
  /** Whether there is room for a reservation now; takes none. */
  abstract admits(waiting: WaitingReservation): boolean;

  /** The request was granted, and holds room from now on. */
  abstract started(id: string, cost: Cost, now: number): void;

  /** The first token, or the head of a plain answer, has come. */
  abstract firstToken(id: string, now: number): void;

  /** `outputTokens` more tokens have come since the last report. */
  abstract progressed(id: string, outputTokens: number, now: number): void;

  abstract finished(id: string, outcome: Outcome, now: number): void;

  /** Requests that run now. */
  abstract get running(): number;

  /** Requests that may run at once; at least 1. */
  abstract get limit(): number;

  get isIdle(): boolean {
    return this.running === 0;
  }
}
