/**
 * The queue in front of one backend server. It decides which reservations wait,
 * which is granted next and which are shed.
 *
 * Load pattern: more work than the engine can run, in several tiers, from
 * several organisations, long and short. The engine has no notion of priority
 * and accepts whatever comes; without a queue in front of it, an urgent request
 * waits inside the engine behind earlier ones.
 *
 * - Tiers have strict priority: a full queue evicts the newest reservation of
 *   its lowest tier before it refuses one of a higher tier.
 * - Within a tier, organisations are served fairly by cost. When only
 *   reservations of the arrival's own tier could be evicted, the organisation
 *   with the largest backlog loses its newest one, so an organisation that
 *   floods the queue cannot shut out the others.
 * - A reservation expires when its response could no longer be complete by its
 *   deadline.
 * - A reservation that does not fit is skipped, so no capacity stays idle while
 *   any waiting reservation fits.
 *
 * Every operation takes at most logarithmic time in the number of waiting
 * reservations.
 * @module
 */
import { IndexedHeap } from "./indexed_heap.ts";
import { QueuedReservation } from "./queued_reservation.ts";
import { TierQueue } from "./tier_queue.ts";
import type {
  Cost,
  OfferResult,
  WaitingReservation,
} from "./waiting_reservation.ts";

/** Options of a {@link WaitingQueue}. */
export type WaitingQueueOptions = {
  /** Maximum number of waiting reservations. */
  capacity: number;
  /**
   * Converts a cost to the amount of work that fair queueing counts; the sum of
   * prompt and output tokens by default.
   */
  workOf?: (cost: Cost) => number;
  /**
   * Expected milliseconds from the grant to the end of the response; 0 by
   * default.
   */
  serviceTimeOf?: (cost: Cost) => number;
};

/**
 * Milliseconds without a grant after which one reservation is queued regardless
 * of its estimated service time.
 *
 * Estimates are only corrected by work that runs. If a slow period leaves a
 * long estimate behind, all work is refused because of it, and nothing runs
 * that could correct the estimate.
 */
const ESTIMATE_OVERRIDE_AFTER = 10_000;

/**
 * Every offered reservation leaves the queue in exactly one way: refused,
 * evicted, taken, withdrawn or expired.
 */
export class WaitingQueue {
  readonly #capacity: number;
  readonly #workOf: (cost: Cost) => number;
  readonly #serviceTimeOf: (cost: Cost) => number;
  readonly #queued = new Map<string, QueuedReservation>();
  readonly #byLatestStart = new IndexedHeap<QueuedReservation>();
  /** Highest priority first. */
  readonly #tiers: TierQueue[] = [];
  #expired: WaitingReservation[] = [];
  #estimatesConfirmedAt: number | undefined;

  constructor(options: WaitingQueueOptions) {
    this.#capacity = options.capacity;
    this.#workOf = options.workOf ?? totalTokens;
    this.#serviceTimeOf = options.serviceTimeOf ?? (() => 0);
  }

  get size(): number {
    return this.#queued.size;
  }

  sizeOf(tierRank: number): number {
    return this.#tiers.find((tier) => tier.rank === tierRank)?.size ?? 0;
  }

  /**
   * Returns the waiting work that would be served before a new arrival of the
   * tier.
   */
  workAhead(tierRank: number): number {
    let work = 0;
    for (const tier of this.#tiers) {
      if (tier.rank <= tierRank) {
        work += tier.work;
      }
    }
    return work;
  }

  /**
   * Returns the rank of the lowest tier that would still be queued; a
   * reservation of any lower tier would be refused. Returns `undefined` while
   * the queue is not full.
   */
  lowestTierRank(): number | undefined {
    if (this.#queued.size < this.#capacity) {
      return undefined;
    }
    return this.#lowestWaitingTier()?.rank;
  }

  /** Queues a reservation, evicting others if necessary, or refuses it. */
  offer(reservation: WaitingReservation, now: number): OfferResult {
    const latestStart = this.#latestStart(reservation, now);
    if (latestStart < now) {
      return { queued: false, reason: "deadline" };
    }
    this.#collectExpired(now);
    const evicted: WaitingReservation[] = [];
    while (this.#queued.size >= this.#capacity) {
      const victim = this.#selectVictim(reservation);
      if (victim === undefined) {
        return { queued: false, reason: "queue_full" };
      }
      this.#remove(victim);
      evicted.push(victim.reservation);
    }
    this.#add(reservation, latestStart);
    return { queued: true, evicted };
  }

  /**
   * Returns the next reservation that `admits` accepts, removes it from the
   * queue and charges its organisation. `admits` is called for at most one
   * reservation of each size class in each tier.
   */
  take(
    now: number,
    admits: (reservation: WaitingReservation) => boolean,
  ): WaitingReservation | undefined {
    this.#collectExpired(now);
    for (const tier of this.#tiers) {
      const queued = this.#firstAdmitted(tier, now, admits);
      if (queued !== undefined) {
        tier.serve(queued);
        this.#forget(queued);
        this.#estimatesConfirmedAt = now;
        return queued.reservation;
      }
    }
    return undefined;
  }

  /** Removes a waiting reservation; returns `false` if it no longer waits. */
  withdraw(id: string): boolean {
    const queued = this.#queued.get(id);
    if (queued === undefined) {
      return false;
    }
    this.#remove(queued);
    return true;
  }

  /**
   * Removes and returns the reservations whose deadline can no longer be met.
   * Each is returned once.
   */
  expire(now: number): WaitingReservation[] {
    this.#collectExpired(now);
    const expired = this.#expired;
    this.#expired = [];
    return expired;
  }

  /**
   * Corrects the charge of a taken reservation once its actual cost is known.
   * An actual cost of 0, as for an expired grant, refunds the whole charge.
   */
  correctCharge(reservation: WaitingReservation, actual: Cost): void {
    const difference = this.#workOf(actual) - this.#workOf(reservation.cost);
    this.#tierOf(reservation.tierRank).correctCharge(reservation, difference);
  }

  #add(reservation: WaitingReservation, latestStart: number): void {
    const queued = new QueuedReservation(
      reservation,
      this.#workOf(reservation.cost),
      latestStart,
    );
    this.#queued.set(reservation.id, queued);
    this.#byLatestStart.push(queued);
    this.#tierOf(reservation.tierRank).add(queued);
  }

  #remove(queued: QueuedReservation): void {
    this.#tierOf(queued.reservation.tierRank).remove(queued);
    this.#forget(queued);
  }

  #forget(queued: QueuedReservation): void {
    this.#byLatestStart.remove(queued);
    this.#queued.delete(queued.reservation.id);
  }

  #selectVictim(arrival: WaitingReservation): QueuedReservation | undefined {
    const lowest = this.#lowestWaitingTier();
    if (lowest === undefined || lowest.rank < arrival.tierRank) {
      return undefined;
    }
    if (lowest.rank > arrival.tierRank) {
      return lowest.newest;
    }
    const victim = lowest.newestOfLargestBacklog;
    const largest = victim?.account?.backlog ?? 0;
    const own = lowest.backlogOf(arrival.organisation) +
      this.#workOf(arrival.cost) / arrival.weight;
    return own < largest ? victim : undefined;
  }

  #firstAdmitted(
    tier: TierQueue,
    now: number,
    admits: (reservation: WaitingReservation) => boolean,
  ): QueuedReservation | undefined {
    while (tier.size > 0) {
      const heads = tier.heads();
      const late = heads.find((head) => this.#isTooLate(head, now));
      if (late === undefined) {
        return heads.find((head) => admits(head.reservation));
      }
      this.#remove(late);
      this.#expired.push(late.reservation);
    }
    return undefined;
  }

  /**
   * Checks the deadline again with the current estimate: the engine may have
   * become slower since the reservation was queued.
   */
  #isTooLate(queued: QueuedReservation, now: number): boolean {
    const { reservation } = queued;
    const ignoresEstimate = queued.key === reservation.deadline;
    return !ignoresEstimate &&
      reservation.deadline - this.#serviceTimeOf(reservation.cost) < now;
  }

  #latestStart(reservation: WaitingReservation, now: number): number {
    const latestStart = reservation.deadline -
      this.#serviceTimeOf(reservation.cost);
    this.#estimatesConfirmedAt ??= now;
    const unconfirmed =
      now - this.#estimatesConfirmedAt > ESTIMATE_OVERRIDE_AFTER;
    if (latestStart < now && unconfirmed) {
      this.#estimatesConfirmedAt = now;
      return reservation.deadline;
    }
    return latestStart;
  }

  #collectExpired(now: number): void {
    for (;;) {
      const queued = this.#byLatestStart.peek();
      if (queued === undefined || queued.key >= now) {
        return;
      }
      this.#remove(queued);
      this.#expired.push(queued.reservation);
    }
  }

  #lowestWaitingTier(): TierQueue | undefined {
    return this.#tiers.findLast((tier) => tier.size > 0);
  }

  #tierOf(rank: number): TierQueue {
    const index = this.#tiers.findIndex((tier) => tier.rank >= rank);
    const found = this.#tiers[index];
    if (found?.rank === rank) {
      return found;
    }
    const tier = new TierQueue(rank);
    this.#tiers.splice(index < 0 ? this.#tiers.length : index, 0, tier);
    return tier;
  }
}

function totalTokens(cost: Cost): number {
  return cost.promptTokens + cost.outputTokens;
}
