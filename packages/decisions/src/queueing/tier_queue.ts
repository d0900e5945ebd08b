/**
 * The reservations of one tier, fair between organisations by cost.
 *
 * Load pattern: one organisation sends ten times the rest, or fewer requests
 * that each cost a hundred times more. Without fairness by cost the others wait
 * behind its backlog; with fairness by count the sender of long work still
 * takes nearly all of the engine.
 *
 * Start-time fair queueing, charged when work is taken and not when it arrives:
 * most reservations of a request are withdrawn because another server granted
 * first, and an organisation must not pay for those. Between two organisations
 * that both wait, served work divided by weight differs by at most one largest
 * request of each.
 * @module
 */
import { IndexedHeap } from "./indexed_heap.ts";
import { LinkedList } from "./linked_list.ts";
import { OrganisationAccount } from "./organisation_account.ts";
import { OrganisationFlow } from "./organisation_flow.ts";
import type { Place } from "./place.ts";
import { SIZE_CLASSES, sizeClassOf, SUSPECT_CLASS } from "./size_class.ts";
import type { WaitingReservation } from "./waiting_reservation.ts";

/** One tier's waiting reservations. */
export class TierQueue {
  readonly rank: number;
  readonly #places = new LinkedList<Place>();
  readonly #accounts = new Map<string, OrganisationAccount>();
  readonly #backlogs = new IndexedHeap<OrganisationAccount>();
  readonly #idle = new IndexedHeap<OrganisationAccount>();
  readonly #lanes: IndexedHeap<OrganisationFlow>[] = [];
  #virtualTime = 0;
  #work = 0;

  constructor(rank: number) {
    this.rank = rank;
    for (let sizeClass = 0; sizeClass < SIZE_CLASSES; sizeClass += 1) {
      this.#lanes.push(new IndexedHeap<OrganisationFlow>());
    }
  }

  get size(): number {
    return this.#places.size;
  }

  /** Waiting work. */
  get work(): number {
    return this.#work;
  }

  get newest(): Place | undefined {
    return this.#places.newest;
  }

  /** The newest reservation of the organisation with the largest backlog. */
  get newestOfLargestBacklog(): Place | undefined {
    return this.#backlogs.peek()?.places.newest;
  }

  /** Waiting work divided by weight of one organisation. */
  backlogOf(organisation: string): number {
    return this.#accounts.get(organisation)?.backlog ?? 0;
  }

  add(place: Place): void {
    const account = this.#accountOf(place.waiting);
    const flow = this.#flowOf(account, place);
    place.account = account;
    place.flow = flow;
    flow.places.append(place.inFlow);
    this.#places.append(place.inTier);
    this.#work += place.work;
    this.#heapOf(account).remove(account);
    account.places.append(place.inAccount);
    account.backlog += place.work / account.weight;
    this.#heapOf(account).push(account);
  }

  remove(place: Place): void {
    const { account, flow } = place;
    if (account === undefined || flow === undefined) {
      return;
    }
    place.account = undefined;
    place.flow = undefined;
    flow.places.remove(place.inFlow);
    this.#places.remove(place.inTier);
    this.#work -= place.work;
    if (flow.places.size === 0) {
      this.#lane(flow.sizeClass).remove(flow);
      account.flows.delete(flow.sizeClass);
    }
    this.#heapOf(account).remove(account);
    account.places.remove(place.inAccount);
    const backlog = account.backlog - place.work / account.weight;
    account.backlog = account.isIdle ? 0 : backlog;
    this.#heapOf(account).push(account);
  }

  /**
   * The lanes' heads, the next to be served first. One organisation's heads have
   * the same tag; the older goes first, or its short work would always pass its
   * long.
   */
  heads(): Place[] {
    const heads: Place[] = [];
    for (const lane of this.#lanes) {
      const head = lane.peek()?.places.oldest;
      if (head !== undefined) {
        heads.push(head);
      }
    }
    return heads.length > 1 ? heads.sort(compareHeads) : heads;
  }

  /** Removes a head and charges its organisation for it. */
  serve(place: Place): void {
    const { account, flow } = place;
    if (account === undefined || flow === undefined) {
      return;
    }
    const startTag = flow.key;
    this.#virtualTime = Math.max(this.#virtualTime, startTag);
    account.finishTag = startTag + place.work / account.weight;
    this.remove(place);
    this.#retag(account);
    this.#forgetPaid();
  }

  /** Charges more for served work or, with a negative amount, gives back. */
  correct(waiting: WaitingReservation, work: number): void {
    if (work < 0 && !this.#accounts.has(waiting.organisation)) {
      return;
    }
    const account = this.#accountOf(waiting);
    account.finishTag += work / account.weight;
    this.#retag(account);
    this.#heapOf(account).update(account);
    this.#forgetPaid();
  }

  #accountOf(waiting: WaitingReservation): OrganisationAccount {
    const { organisation, weight } = waiting;
    const known = this.#accounts.get(organisation);
    if (known !== undefined) {
      return known;
    }
    const account = new OrganisationAccount(organisation, weight);
    account.finishTag = this.#virtualTime;
    this.#accounts.set(organisation, account);
    this.#idle.push(account);
    return account;
  }

  #heapOf(account: OrganisationAccount): IndexedHeap<OrganisationAccount> {
    return account.isIdle ? this.#idle : this.#backlogs;
  }

  /** An idle account whose tag lies in the past would be made anew alike. */
  #forgetPaid(): void {
    for (;;) {
      const account = this.#idle.peek();
      if (account === undefined || account.finishTag > this.#virtualTime) {
        return;
      }
      this.#idle.remove(account);
      this.#accounts.delete(account.organisation);
    }
  }

  #flowOf(account: OrganisationAccount, place: Place): OrganisationFlow {
    const sizeClass = place.waiting.suspect
      ? SUSPECT_CLASS
      : sizeClassOf(place.work);
    const known = account.flows.get(sizeClass);
    if (known !== undefined) {
      return known;
    }
    const flow = new OrganisationFlow(account, sizeClass, this.#virtualTime);
    account.flows.set(sizeClass, flow);
    this.#lane(sizeClass).push(flow);
    return flow;
  }

  #lane(sizeClass: number): IndexedHeap<OrganisationFlow> {
    const lane = this.#lanes[sizeClass];
    if (lane === undefined) {
      throw new RangeError(`no size class ${sizeClass}`);
    }
    return lane;
  }

  #retag(account: OrganisationAccount): void {
    for (const flow of account.flows.values()) {
      flow.retag();
      this.#lane(flow.sizeClass).update(flow);
    }
  }
}

function compareHeads(left: Place, right: Place): number {
  const byTag = (left.flow?.key ?? 0) - (right.flow?.key ?? 0);
  return byTag === 0 ? left.waiting.arrived - right.waiting.arrived : byTag;
}
