/**
 * Keeps other requests off a server while it runs a suspect request. Otherwise,
 * requests that were granted beside a suspect would fail when it crashes the
 * server, and would become suspects themselves.
 * @module
 */
import type { WaitingReservation } from "../queueing/waiting_reservation.ts";

/**
 * Remembers an admitted suspect; it runs alone from its start until it
 * finishes.
 */
export class ExclusiveRun {
  #admitted: string | undefined;
  #running: string | undefined;

  /** Whether a suspect is running. */
  get active(): boolean {
    return this.#running !== undefined;
  }

  /** Records that the reservation may start on an idle server. */
  recordAdmission(reservation: WaitingReservation): void {
    this.#admitted = reservation.suspect ? reservation.id : undefined;
  }

  recordStart(id: string): void {
    if (id === this.#admitted) {
      this.#running = id;
    }
  }

  recordEnd(id: string): void {
    if (id === this.#running) {
      this.#running = undefined;
    }
  }
}
