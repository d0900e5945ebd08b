/**
 * One organisation's waiting reservations of one size class, oldest first.
 * @module
 */
import { OUTSIDE_HEAP } from "./indexed_heap.ts";
import { LinkedList } from "./linked_list.ts";
import type { OrganisationAccount } from "./organisation_account.ts";
import type { QueuedReservation } from "./queued_reservation.ts";

/**
 * An item of its size class's heap; `key` is the virtual start tag of the
 * oldest reservation.
 */
export class OrganisationFlow {
  readonly account: OrganisationAccount;
  readonly sizeClass: number;
  readonly reservations = new LinkedList<QueuedReservation>();
  /**
   * Virtual time at which the flow last became non-empty; the start tag is
   * never below it.
   */
  readonly minStartTag: number;
  key: number;
  heapIndex = OUTSIDE_HEAP;

  constructor(
    account: OrganisationAccount,
    sizeClass: number,
    minStartTag: number,
  ) {
    this.account = account;
    this.sizeClass = sizeClass;
    this.minStartTag = minStartTag;
    this.key = Math.max(minStartTag, account.finishTag);
  }

  /** Recomputes the start tag after the account's finish tag has changed. */
  updateStartTag(): void {
    this.key = Math.max(this.minStartTag, this.account.finishTag);
  }
}
