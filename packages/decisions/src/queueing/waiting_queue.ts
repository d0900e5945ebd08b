/**
 * The queue in front of one backend server: who waits, who is next, who is shed.
 *
 * Load pattern: more work than the engine can run, in several tiers, from
 * several organisations, long and short. The engine itself knows no priorities
 * and takes what comes; without a queue in front of it an urgent request waits
 * inside the engine behind whatever came first.
 *
 * - Tiers are strict: a full queue evicts the newest of its lowest tier before
 *   it refuses a higher one.
 * - Within a tier, organisations are served by cost; when only the arrival's own
 *   tier is left to evict from, the organisation with the largest backlog gives
 *   up its newest, so one that floods the queue cannot shut the others out.
 * - Waiting ends when the answer could no longer be whole by its deadline.
 * - A head that finds no room is passed over, so room is never left idle while
 *   anything waiting fits it.
 *
 * No step grows with the number waiting by more than its logarithm.
 * @module
 */
import { IndexedHeap } from "./indexed_heap.ts";
import { Place } from "./place.ts";
import { TierQueue } from "./tier_queue.ts";
import type {
  Cost,
  OfferResult,
  WaitingReservation,
} from "./waiting_reservation.ts";

/** Settings of a {@link WaitingQueue}. */
export type WaitingQueueOptions = {
  /** Most reservations that wait at once. */
  capacity: number;
  /** Cost as one number, for fairness; prompt and output tokens by default. */
  workOf?: (cost: Cost) => number;
  /** Expected milliseconds from grant to the end of the answer; 0 by default. */
  serviceTimeOf?: (cost: Cost) => number;
};

/**
 * Estimates refuse work only while grants confirm them. An engine that was slow
 * teaches a long service time, all work is refused for it, and nothing runs that
 * could teach a shorter one. After so many milliseconds without a grant one
 * reservation is queued whatever the estimate says.
 */
const UNCONFIRMED_AFTER = 10_000;

/** See the module. Every offered reservation leaves in exactly one way. */
export class WaitingQueue {
  readonly #capacity: number;
  readonly #workOf: (cost: Cost) => number;
  readonly #serviceTimeOf: (cost: Cost) => number;
  readonly #places = new Map<string, Place>();
  readonly #latestStarts = new IndexedHeap<Place>();
  /** Highest tier first. */
  readonly #tiers: TierQueue[] = [];
  #expired: WaitingReservation[] = [];
  #estimatesConfirmed: number | undefined;

  constructor(options: WaitingQueueOptions) {
    this.#capacity = options.capacity;
    this.#workOf = options.workOf ?? totalTokens;
    this.#serviceTimeOf = options.serviceTimeOf ?? (() => 0);
  }

  get size(): number {
    return this.#places.size;
  }

  sizeOf(tierRank: number): number {
    return this.#tiers.find((tier) => tier.rank === tierRank)?.size ?? 0;
  }

  /** Waiting work that is served before a new arrival of the tier. */
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
   * The lowest tier that may be queued now; every lower one would be refused.
   * Undefined while there is a place for any.
   */
  lowestTierRank(): number | undefined {
    if (this.#places.size < this.#capacity) {
      return undefined;
    }
    return this.#lowestWaitingTier()?.rank;
  }

  /** Queues a reservation, evicts for it, or refuses it. */
  offer(waiting: WaitingReservation, now: number): OfferResult {
    const latestStart = this.#latestStart(waiting, now);
    if (latestStart < now) {
      return { queued: false, reason: "deadline" };
    }
    this.#collectExpired(now);
    const evicted: WaitingReservation[] = [];
    while (this.#places.size >= this.#capacity) {
      const victim = this.#victimFor(waiting);
      if (victim === undefined) {
        return { queued: false, reason: "queue_full" };
      }
      this.#remove(victim);
      evicted.push(victim.waiting);
    }
    this.#add(waiting, latestStart);
    return { queued: true, evicted };
  }

  /**
   * The next reservation that `admits` has room for, removed from the queue and
   * charged to its organisation. `admits` is asked about at most one head of
   * each size class in each tier.
   */
  take(
    now: number,
    admits: (waiting: WaitingReservation) => boolean,
  ): WaitingReservation | undefined {
    this.#collectExpired(now);
    for (const tier of this.#tiers) {
      const place = this.#firstAdmitted(tier, now, admits);
      if (place !== undefined) {
        tier.serve(place);
        this.#forget(place);
        this.#estimatesConfirmed = now;
        return place.waiting;
      }
    }
    return undefined;
  }

  /** Takes a reservation back; `false` if it no longer waits. */
  withdraw(id: string): boolean {
    const place = this.#places.get(id);
    if (place === undefined) {
      return false;
    }
    this.#remove(place);
    return true;
  }

  /** Removes those whose deadline can no longer be met; each is told once. */
  expire(now: number): WaitingReservation[] {
    this.#collectExpired(now);
    const expired = this.#expired;
    this.#expired = [];
    return expired;
  }

  /**
   * Corrects the charge of a taken reservation once its real cost is known. An
   * actual cost of 0 returns the whole charge: the grant lapsed.
   */
  correctCharge(waiting: WaitingReservation, actual: Cost): void {
    const difference = this.#workOf(actual) - this.#workOf(waiting.cost);
    this.#tierOf(waiting.tierRank).correct(waiting, difference);
  }

  #add(waiting: WaitingReservation, latestStart: number): void {
    const place = new Place(waiting, this.#workOf(waiting.cost), latestStart);
    this.#places.set(waiting.id, place);
    this.#latestStarts.push(place);
    this.#tierOf(waiting.tierRank).add(place);
  }

  #remove(place: Place): void {
    this.#tierOf(place.waiting.tierRank).remove(place);
    this.#forget(place);
  }

  #forget(place: Place): void {
    this.#latestStarts.remove(place);
    this.#places.delete(place.waiting.id);
  }

  #victimFor(arrival: WaitingReservation): Place | undefined {
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
    admits: (waiting: WaitingReservation) => boolean,
  ): Place | undefined {
    while (tier.size > 0) {
      const heads = tier.heads();
      const late = heads.find((head) => this.#isTooLate(head, now));
      if (late === undefined) {
        return heads.find((head) => admits(head.waiting));
      }
      this.#remove(late);
      this.#expired.push(late.waiting);
    }
    return undefined;
  }

  /** The engine may have become slower since the reservation was queued. */
  #isTooLate(place: Place, now: number): boolean {
    const { waiting } = place;
    const unchecked = place.key === waiting.deadline;
    return !unchecked &&
      waiting.deadline - this.#serviceTimeOf(waiting.cost) < now;
  }

  #latestStart(waiting: WaitingReservation, now: number): number {
    const latestStart = waiting.deadline - this.#serviceTimeOf(waiting.cost);
    this.#estimatesConfirmed ??= now;
    const unconfirmed = now - this.#estimatesConfirmed > UNCONFIRMED_AFTER;
    if (latestStart < now && unconfirmed) {
      this.#estimatesConfirmed = now;
      return waiting.deadline;
    }
    return latestStart;
  }

  #collectExpired(now: number): void {
    for (;;) {
      const place = this.#latestStarts.peek();
      if (place === undefined || place.key >= now) {
        return;
      }
      this.#remove(place);
      this.#expired.push(place.waiting);
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
