/** A waiting reservation with its nodes in the queue's lists. @module */
import { OUTSIDE_HEAP } from "./indexed_heap.ts";
import { LinkedNode } from "./linked_list.ts";
import type { OrganisationAccount } from "./organisation_account.ts";
import type { OrganisationFlow } from "./organisation_flow.ts";
import type { WaitingReservation } from "./waiting_reservation.ts";

/**
 * An item of the heap of latest start times; `key` is the latest instant at
 * which the reservation can start and still meet its deadline.
 */
export class QueuedReservation {
  readonly reservation: WaitingReservation;
  readonly work: number;
  key: number;
  heapIndex = OUTSIDE_HEAP;
  readonly tierNode: LinkedNode<QueuedReservation>;
  readonly accountNode: LinkedNode<QueuedReservation>;
  readonly flowNode: LinkedNode<QueuedReservation>;
  account: OrganisationAccount | undefined;
  flow: OrganisationFlow | undefined;

  constructor(
    reservation: WaitingReservation,
    work: number,
    latestStart: number,
  ) {
    this.reservation = reservation;
    this.work = work;
    this.key = latestStart;
    this.tierNode = new LinkedNode<QueuedReservation>(this);
    this.accountNode = new LinkedNode<QueuedReservation>(this);
    this.flowNode = new LinkedNode<QueuedReservation>(this);
  }
}
