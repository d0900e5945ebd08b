/** One organisation's served and waiting work within one tier. @module */
import { OUTSIDE_HEAP } from "./indexed_heap.ts";
import { LinkedList } from "./linked_list.ts";
import type { OrganisationFlow } from "./organisation_flow.ts";
import type { QueuedReservation } from "./queued_reservation.ts";

/**
 * While the organisation has waiting reservations, its account is in the tier's
 * heap of backlogged accounts, largest backlog first. Otherwise it is in the
 * heap of idle accounts, smallest finish tag first.
 */
export class OrganisationAccount {
  readonly organisation: string;
  weight: number;
  /**
   * Virtual finish time of the work served so far (start-time fair queueing).
   */
  finishTag = 0;
  /** Waiting work divided by weight. */
  backlog = 0;
  /** All waiting reservations, of every size class. */
  readonly reservations = new LinkedList<QueuedReservation>();
  readonly flows = new Map<number, OrganisationFlow>();
  heapIndex = OUTSIDE_HEAP;

  constructor(organisation: string, weight: number) {
    this.organisation = organisation;
    this.weight = weight;
  }

  /** Sort key in the heap that holds the account. */
  get key(): number {
    return this.isIdle ? this.finishTag : -this.backlog;
  }

  get isIdle(): boolean {
    return this.reservations.size === 0;
  }
}
