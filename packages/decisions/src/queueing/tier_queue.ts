/**
 * The waiting reservations of one tier, scheduled fairly by cost between
 * organisations.
 *
 * Load pattern: one organisation sends ten times as many requests as all
 * others, or fewer requests that each cost a hundred times more. Without
 * fairness the others wait behind its backlog; with fairness by request count,
 * the organisation that sends long work still takes nearly all of the engine.
 *
 * Implements start-time fair queueing. Work is charged when it is taken from
 * the queue, not when it arrives: most reservations of a request are withdrawn
 * because another server granted first, and an organisation must not pay for
 * those. Between two organisations that both have work waiting, served work
 * divided by weight differs by at most one largest request of each.
 * @module
 */
import { IndexedHeap } from "./indexed_heap.ts";
import { LinkedList } from "./linked_list.ts";
import { OrganisationAccount } from "./organisation_account.ts";
import { OrganisationFlow } from "./organisation_flow.ts";
import type { QueuedReservation } from "./queued_reservation.ts";
import { SIZE_CLASS_COUNT, sizeClassOf, SUSPECT_CLASS } from "./size_class.ts";
import type { WaitingReservation } from "./waiting_reservation.ts";

/** The waiting reservations of one tier. */
export class TierQueue {
  readonly rank: number;
  readonly #reservations = new LinkedList<QueuedReservation>();
  readonly #accounts = new Map<string, OrganisationAccount>();
  readonly #backloggedAccounts = new IndexedHeap<OrganisationAccount>();
  readonly #idleAccounts = new IndexedHeap<OrganisationAccount>();
  readonly #flowsBySizeClass: IndexedHeap<OrganisationFlow>[] = [];
  #virtualTime = 0;
  #work = 0;

  constructor(rank: number) {
    this.rank = rank;
    for (let sizeClass = 0; sizeClass < SIZE_CLASS_COUNT; sizeClass += 1) {
      this.#flowsBySizeClass.push(new IndexedHeap<OrganisationFlow>());
    }
  }

  get size(): number {
    return this.#reservations.size;
  }

  /** Total work of the waiting reservations. */
  get work(): number {
    return this.#work;
  }

  get newest(): QueuedReservation | undefined {
    return this.#reservations.newest;
  }

  /** The newest reservation of the organisation with the largest backlog. */
  get newestOfLargestBacklog(): QueuedReservation | undefined {
    return this.#backloggedAccounts.peek()?.reservations.newest;
  }

  /** Returns an organisation's waiting work divided by its weight. */
  backlogOf(organisation: string): number {
    return this.#accounts.get(organisation)?.backlog ?? 0;
  }

  add(queued: QueuedReservation): void {
    const account = this.#accountOf(queued.reservation);
    const flow = this.#flowOf(account, queued);
    queued.account = account;
    queued.flow = flow;
    flow.reservations.append(queued.flowNode);
    this.#reservations.append(queued.tierNode);
    this.#work += queued.work;
    this.#heapOf(account).remove(account);
    account.reservations.append(queued.accountNode);
    account.backlog += queued.work / account.weight;
    this.#heapOf(account).push(account);
  }

  remove(queued: QueuedReservation): void {
    const { account, flow } = queued;
    if (account === undefined || flow === undefined) {
      return;
    }
    queued.account = undefined;
    queued.flow = undefined;
    flow.reservations.remove(queued.flowNode);
    this.#reservations.remove(queued.tierNode);
    this.#work -= queued.work;
    if (flow.reservations.size === 0) {
      this.#flowHeap(flow.sizeClass).remove(flow);
      account.flows.delete(flow.sizeClass);
    }
    this.#heapOf(account).remove(account);
    account.reservations.remove(queued.accountNode);
    const backlog = account.backlog - queued.work / account.weight;
    account.backlog = account.isIdle ? 0 : backlog;
    this.#heapOf(account).push(account);
  }

  /**
   * Returns the first reservation of each size class, in the order in which
   * they are to be served. Those of one organisation have the same start tag;
   * of these the older one comes first, because otherwise the organisation's
   * short work would always overtake its long work.
   */
  heads(): QueuedReservation[] {
    const heads: QueuedReservation[] = [];
    for (const flows of this.#flowsBySizeClass) {
      const head = flows.peek()?.reservations.oldest;
      if (head !== undefined) {
        heads.push(head);
      }
    }
    return heads.length > 1 ? heads.sort(compareHeads) : heads;
  }

  /**
   * Removes a reservation that {@link heads} returned and charges its
   * organisation for the work.
   */
  serve(queued: QueuedReservation): void {
    const { account, flow } = queued;
    if (account === undefined || flow === undefined) {
      return;
    }
    const startTag = flow.key;
    this.#virtualTime = Math.max(this.#virtualTime, startTag);
    account.finishTag = startTag + queued.work / account.weight;
    this.remove(queued);
    this.#updateStartTags(account);
    this.#deleteSettledAccounts();
  }

  /**
   * Adds `work` to an organisation's charge for served work; a negative amount
   * is a refund.
   */
  correctCharge(reservation: WaitingReservation, work: number): void {
    if (work < 0 && !this.#accounts.has(reservation.organisation)) {
      return;
    }
    const account = this.#accountOf(reservation);
    account.finishTag += work / account.weight;
    this.#updateStartTags(account);
    this.#heapOf(account).update(account);
    this.#deleteSettledAccounts();
  }

  #accountOf(reservation: WaitingReservation): OrganisationAccount {
    const { organisation, weight } = reservation;
    const known = this.#accounts.get(organisation);
    if (known !== undefined) {
      return known;
    }
    const account = new OrganisationAccount(organisation, weight);
    account.finishTag = this.#virtualTime;
    this.#accounts.set(organisation, account);
    this.#idleAccounts.push(account);
    return account;
  }

  #heapOf(account: OrganisationAccount): IndexedHeap<OrganisationAccount> {
    return account.isIdle ? this.#idleAccounts : this.#backloggedAccounts;
  }

  /**
   * Deletes idle accounts whose finish tag is not ahead of virtual time: a new
   * account would get the same tag.
   */
  #deleteSettledAccounts(): void {
    for (;;) {
      const account = this.#idleAccounts.peek();
      if (account === undefined || account.finishTag > this.#virtualTime) {
        return;
      }
      this.#idleAccounts.remove(account);
      this.#accounts.delete(account.organisation);
    }
  }

  #flowOf(
    account: OrganisationAccount,
    queued: QueuedReservation,
  ): OrganisationFlow {
    const sizeClass = queued.reservation.suspect
      ? SUSPECT_CLASS
      : sizeClassOf(queued.work);
    const known = account.flows.get(sizeClass);
    if (known !== undefined) {
      return known;
    }
    const flow = new OrganisationFlow(account, sizeClass, this.#virtualTime);
    account.flows.set(sizeClass, flow);
    this.#flowHeap(sizeClass).push(flow);
    return flow;
  }

  #flowHeap(sizeClass: number): IndexedHeap<OrganisationFlow> {
    const flows = this.#flowsBySizeClass[sizeClass];
    if (flows === undefined) {
      throw new RangeError(`no size class ${sizeClass}`);
    }
    return flows;
  }

  #updateStartTags(account: OrganisationAccount): void {
    for (const flow of account.flows.values()) {
      flow.updateStartTag();
      this.#flowHeap(flow.sizeClass).update(flow);
    }
  }
}

function compareHeads(
  left: QueuedReservation,
  right: QueuedReservation,
): number {
  const byTag = (left.flow?.key ?? 0) - (right.flow?.key ?? 0);
  return byTag === 0
    ? left.reservation.arrived - right.reservation.arrived
    : byTag;
}
