/**
 * The one reservation that has been passed over.
 *
 * Load pattern: a plan reply that needs more room than has come free, before
 * review tags that need less; a quote of 20,000 tokens in a stream of quotes of
 * 5,000; a suspect that must run alone on an engine that is never empty. Whatever
 * room comes free is taken by work that fits it, and the large one waits for
 * ever. In a trial at twice the capacity order look-ups kept all their goodput
 * and plan replies, two tiers above them, half of theirs.
 *
 * So room that is refused to a reservation is kept for it: at once against lower
 * tiers, and after a time against its own. Higher tiers are not held up, nor is
 * short work for the sake of long.
 * @module
 */
import type { WaitingReservation } from "../queueing/waiting_reservation.ts";

/** As long as a first token may take: nobody notices a shorter wait. */
const PATIENCE = 1300;
/** A reservation that is not asked about for so long has been withdrawn. */
const LAPSE = 500;

/**
 * Whose work may take what was refused: work of the same length, work of any
 * length, or none, since the reservation must run alone.
 */
export type RefusedRoom = "own kind" | "any kind" | "alone";

type Claim = {
  id: string;
  tierRank: number;
  long: boolean;
  room: RefusedRoom;
  since: number;
  asked: number;
};

/** Times are milliseconds. */
export class PassedOver {
  #claim: Claim | undefined;

  /** Whether room is being kept that this reservation must not take. */
  bars(waiting: WaitingReservation, long: boolean, now: number): boolean {
    const claim = this.#claim;
    if (claim === undefined || claim.id === waiting.id) {
      return false;
    }
    const lapsed = now - claim.asked > LAPSE;
    if (lapsed || waiting.tierRank < claim.tierRank) {
      return false;
    }
    const patient = now - claim.since <= PATIENCE;
    const sameKind = claim.long === long;
    if (claim.room === "alone") {
      return !patient;
    }
    return waiting.tierRank > claim.tierRank
      ? sameKind || claim.room === "any kind"
      : sameKind && !patient;
  }

  /** Notes that a reservation found no room although smaller ones may. */
  refused(
    { waiting, long, room, now }: {
      waiting: WaitingReservation;
      long: boolean;
      room: RefusedRoom;
      now: number;
    },
  ): void {
    const { id, tierRank } = waiting;
    const claim = this.#claim;
    if (claim?.id === id) {
      claim.asked = now;
      claim.room = room;
      return;
    }
    const free = claim === undefined || now - claim.asked > LAPSE;
    if (free || tierRank < claim.tierRank) {
      this.#claim = { id, tierRank, long, room, since: now, asked: now };
    }
  }

  /** The reservation found its room. */
  started(id: string): void {
    if (this.#claim?.id === id) {
      this.#claim = undefined;
    }
  }
}
