/** Divides the capacity for appointments between organisations. @module */

/** Milliseconds for which an organisation counts after its last refusal. */
const ACTIVE_TIME = 5000;

/** Decides how much of the free capacity an organisation may take. */
export abstract class AppointmentShares {
  /** Notes that a request of the organisation is refused. */
  abstract recordRefusal(organisation: string, now: number): void;
  /**
   * Whether an organisation to which `promised` milliseconds of slot time are
   * promised may have more, out of `total` that is free or promised.
   */
  abstract allows(
    organisation: string,
    capacity: { promised: number; total: number },
    now: number,
  ): boolean;
}

/** Equal shares for all organisations that were refused lately. */
export class EqualAppointmentShares extends AppointmentShares {
  /** Last refusal of each organisation, the oldest first. */
  readonly #refusedAt = new Map<string, number>();

  recordRefusal(organisation: string, now: number): void {
    this.#refusedAt.delete(organisation);
    this.#refusedAt.set(organisation, now);
    for (const [oldest, at] of this.#refusedAt) {
      if (now - at <= ACTIVE_TIME) break;
      this.#refusedAt.delete(oldest);
    }
  }

  allows(
    _organisation: string,
    { promised, total }: { promised: number; total: number },
  ): boolean {
    return promised <= total / Math.max(1, this.#refusedAt.size);
  }
}
