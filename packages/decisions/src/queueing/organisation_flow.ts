/** One organisation's waiting reservations of one size class, in order. @module */
import { OUTSIDE_HEAP } from "./indexed_heap.ts";
import { LinkedList } from "./linked_list.ts";
import type { OrganisationAccount } from "./organisation_account.ts";
import type { Place } from "./place.ts";

/** Held by its size class's heap; `key` is the start tag of its oldest. */
export class OrganisationFlow {
  readonly account: OrganisationAccount;
  readonly sizeClass: number;
  readonly places = new LinkedList<Place>();
  /** Virtual time at which the flow last began to wait. */
  readonly floor: number;
  key: number;
  heapIndex = OUTSIDE_HEAP;

  constructor(
    account: OrganisationAccount,
    sizeClass: number,
    floor: number,
  ) {
    this.account = account;
    this.sizeClass = sizeClass;
    this.floor = floor;
    this.key = Math.max(floor, account.finishTag);
  }

  /** Takes over the account's tag after a charge or a correction. */
  retag(): void {
    this.key = Math.max(this.floor, this.account.finishTag);
  }
}
