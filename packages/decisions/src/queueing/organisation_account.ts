/** What one organisation has been served, and has waiting, within one tier. @module */
import { OUTSIDE_HEAP } from "./indexed_heap.ts";
import { LinkedList } from "./linked_list.ts";
import type { OrganisationFlow } from "./organisation_flow.ts";
import type { Place } from "./place.ts";

/**
 * While it waits, held by the tier's heap of backlogs, the largest first; else by
 * the heap of idle accounts, the one that is paid for soonest first.
 */
export class OrganisationAccount {
  readonly organisation: string;
  weight: number;
  /** Virtual time at which all served work is paid for. */
  finishTag = 0;
  /** Waiting work divided by weight. */
  backlog = 0;
  /** Every waiting reservation, over all size classes. */
  readonly places = new LinkedList<Place>();
  readonly flows = new Map<number, OrganisationFlow>();
  heapIndex = OUTSIDE_HEAP;

  constructor(organisation: string, weight: number) {
    this.organisation = organisation;
    this.weight = weight;
  }

  /** Its order in the heap that holds it. */
  get key(): number {
    return this.isIdle ? this.finishTag : -this.backlog;
  }

  get isIdle(): boolean {
    return this.places.size === 0;
  }
}
