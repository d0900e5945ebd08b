/** A waiting reservation with its places in the queue's structures. @module */
import { OUTSIDE_HEAP } from "./indexed_heap.ts";
import { LinkedNode } from "./linked_list.ts";
import type { OrganisationAccount } from "./organisation_account.ts";
import type { OrganisationFlow } from "./organisation_flow.ts";
import type { WaitingReservation } from "./waiting_reservation.ts";

/** Held by the deadline heap, where `key` is the latest instant to start. */
export class Place {
  readonly waiting: WaitingReservation;
  readonly work: number;
  key: number;
  heapIndex = OUTSIDE_HEAP;
  readonly inTier: LinkedNode<Place>;
  readonly inAccount: LinkedNode<Place>;
  readonly inFlow: LinkedNode<Place>;
  account: OrganisationAccount | undefined;
  flow: OrganisationFlow | undefined;

  constructor(waiting: WaitingReservation, work: number, latestStart: number) {
    this.waiting = waiting;
    this.work = work;
    this.key = latestStart;
    this.inTier = new LinkedNode<Place>(this);
    this.inAccount = new LinkedNode<Place>(this);
    this.inFlow = new LinkedNode<Place>(this);
  }
}
