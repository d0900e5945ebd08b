/**
 * Keeps a suspect alone on its server. Without it, requests that were granted
 * beside a suspect die with it and become suspects themselves.
 * @module
 */
import type { WaitingReservation } from "../queueing/waiting_reservation.ts";

/** A suspect is noted when it is admitted and runs alone until it finishes. */
export class LoneRun {
  #admitted: string | undefined;
  #running: string | undefined;

  /** Whether a suspect runs now. */
  get active(): boolean {
    return this.#running !== undefined;
  }

  /** The server is empty and the reservation may start. */
  admitted(waiting: WaitingReservation): void {
    this.#admitted = waiting.suspect ? waiting.id : undefined;
  }

  started(id: string): void {
    if (id === this.#admitted) {
      this.#running = id;
    }
  }

  finished(id: string): void {
    if (id === this.#running) {
      this.#running = undefined;
    }
  }
}
