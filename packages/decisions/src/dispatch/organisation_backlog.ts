/**
 * Waiting requests of one priority class and size class, by organisation, so
 * that all requests of an organisation can be held back or admitted at once.
 * @module
 */
import { IndexedHeap, OUTSIDE_HEAP } from "../queueing/indexed_heap.ts";
import type { HeapItem } from "../queueing/indexed_heap.ts";
import type {
  EntitlementObserver,
  ShareAccount,
} from "./organisation_shares.ts";
import type { QueuedRequest } from "./request_queue.ts";

/** Position of a backlog in a heap; `key` is that of its first request. */
class HeapPosition implements HeapItem {
  key = Infinity;
  heapIndex = OUTSIDE_HEAP;
  readonly backlog: OrganisationBacklog;

  constructor(backlog: OrganisationBacklog) {
    this.backlog = backlog;
  }
}

type PositionHeap = IndexedHeap<HeapPosition>;

/** The waiting requests of one organisation. */
class OrganisationBacklog implements EntitlementObserver {
  readonly requests = new IndexedHeap<QueuedRequest>();
  readonly #account: ShareAccount;
  readonly #heaps: { all: PositionHeap; entitled: PositionHeap };
  readonly #inAll = new HeapPosition(this);
  readonly #inEntitled = new HeapPosition(this);

  constructor(
    account: ShareAccount,
    heaps: { all: PositionHeap; entitled: PositionHeap },
  ) {
    this.#account = account;
    this.#heaps = heaps;
    account.observers.add(this);
  }

  /** Moves the backlog in the heaps after its first request has changed. */
  updatePosition(): void {
    const first = this.requests.peek();
    if (first === undefined) {
      this.#heaps.all.remove(this.#inAll);
      this.#heaps.entitled.remove(this.#inEntitled);
      this.#account.observers.delete(this);
      return;
    }
    move(this.#heaps.all, this.#inAll, first.key);
    if (this.#account.isEntitled) {
      move(this.#heaps.entitled, this.#inEntitled, first.key);
    }
  }

  updateEntitlement(): void {
    if (this.#account.isEntitled) this.updatePosition();
    else this.#heaps.entitled.remove(this.#inEntitled);
  }
}

function move(heap: PositionHeap, position: HeapPosition, key: number): void {
  const isOutside = position.heapIndex === OUTSIDE_HEAP;
  if (!isOutside && position.key === key) return;
  position.key = key;
  if (isOutside) heap.push(position);
  else heap.update(position);
}

/** The requests of one size class; the smallest key comes first. */
export class OrganisationBacklogs {
  readonly #byOrganisation = new Map<string, OrganisationBacklog>();
  readonly #all: PositionHeap = new IndexedHeap();
  readonly #entitled: PositionHeap = new IndexedHeap();

  push(queued: QueuedRequest, account: ShareAccount): void {
    const { organisation } = queued.request;
    let backlog = this.#byOrganisation.get(organisation);
    if (backlog === undefined) {
      const heaps = { all: this.#all, entitled: this.#entitled };
      backlog = new OrganisationBacklog(account, heaps);
      this.#byOrganisation.set(organisation, backlog);
    }
    backlog.requests.push(queued);
    backlog.updatePosition();
  }

  remove(queued: QueuedRequest): void {
    const { organisation } = queued.request;
    const backlog = this.#byOrganisation.get(organisation);
    if (backlog === undefined) return;
    backlog.requests.remove(queued);
    if (backlog.requests.size === 0) this.#byOrganisation.delete(organisation);
    backlog.updatePosition();
  }

  /** The first request of all organisations. */
  first(): QueuedRequest | undefined {
    return this.#all.peek()?.backlog.requests.peek();
  }

  /** The first request of the organisations that are entitled to grants. */
  firstEntitled(): QueuedRequest | undefined {
    return this.#entitled.peek()?.backlog.requests.peek();
  }
}
