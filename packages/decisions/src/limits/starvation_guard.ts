/**
 * Prevents the starvation of a reservation for which other work leaves no
 * capacity.
 *
 * Load pattern: a plan reply that needs more capacity than is free, followed by
 * review tags that need less; a quote of 20,000 tokens in a stream of quotes of
 * 5,000; a suspect that has to run alone on an engine that is never idle. Work
 * that fits takes all capacity that becomes free, and the large reservation
 * never starts. Without this rule, at a load of twice the capacity, order
 * look-ups keep all their goodput and plan replies, two tiers above them, only
 * half of theirs.
 *
 * Capacity that was refused to a reservation is therefore held for it:
 * immediately against lower tiers and after a grace period against its own
 * tier. For a suspect, which has to run alone, it is held only after the grace
 * period. Higher tiers are never delayed, and short work is not delayed for
 * long work of its own tier.
 * @module
 */
import type { WaitingReservation } from "../queueing/waiting_reservation.ts";

/**
 * Milliseconds until capacity is also held against the reservation's own tier.
 * Equal to the goal for the first token: callers don't notice a shorter wait.
 */
const GRACE_PERIOD = 1300;
/**
 * A reservation that has not asked for capacity for this many milliseconds has
 * been withdrawn.
 */
const WITHDRAWN_AFTER = 500;

/**
 * Whose capacity the reservation waits for: that of work of the same length,
 * that of all work, or, if it has to run alone, the whole server.
 */
export type RefusedCapacity = "same length" | "any length" | "exclusive";

type StarvingReservation = {
  id: string;
  tierRank: number;
  long: boolean;
  capacity: RefusedCapacity;
  firstRefusedAt: number;
  lastAskedAt: number;
};

/**
 * Holds capacity for one starving reservation at a time. All times are in
 * milliseconds.
 */
export class StarvationGuard {
  #starving: StarvingReservation | undefined;

  /** Whether the reservation must leave its capacity to the starving one. */
  blocks(reservation: WaitingReservation, long: boolean, now: number): boolean {
    const starving = this.#starving;
    if (starving === undefined || starving.id === reservation.id) {
      return false;
    }
    const withdrawn = now - starving.lastAskedAt > WITHDRAWN_AFTER;
    if (withdrawn || reservation.tierRank < starving.tierRank) {
      return false;
    }
    const inGracePeriod = now - starving.firstRefusedAt <= GRACE_PERIOD;
    const sameLength = starving.long === long;
    if (starving.capacity === "exclusive") {
      return !inGracePeriod;
    }
    return reservation.tierRank > starving.tierRank
      ? sameLength || starving.capacity === "any length"
      : sameLength && !inGracePeriod;
  }

  /** Records that the reservation did not fit although smaller ones may. */
  recordRefusal(
    { reservation, long, capacity, now }: {
      reservation: WaitingReservation;
      long: boolean;
      capacity: RefusedCapacity;
      now: number;
    },
  ): void {
    const { id, tierRank } = reservation;
    const starving = this.#starving;
    if (starving?.id === id) {
      starving.lastAskedAt = now;
      starving.capacity = capacity;
      return;
    }
    const replaceable = starving === undefined ||
      now - starving.lastAskedAt > WITHDRAWN_AFTER;
    if (replaceable || tierRank < starving.tierRank) {
      this.#starving = {
        id,
        tierRank,
        long,
        capacity,
        firstRefusedAt: now,
        lastAskedAt: now,
      };
    }
  }

  /**
   * The reservation has started and no longer needs capacity to be held for it.
   */
  recordStart(id: string): void {
    if (this.#starving?.id === id) {
      this.#starving = undefined;
    }
  }
}
