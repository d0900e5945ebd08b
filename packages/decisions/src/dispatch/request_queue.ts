/** Queue of waiting requests, ordered by {@link priorityKey}. @module */
import { IndexedHeap, OUTSIDE_HEAP } from "../queueing/indexed_heap.ts";
import type { HeapItem } from "../queueing/indexed_heap.ts";
import type { GrantRequest, RequestStanding } from "./grant_request.ts";
import { priorityKey } from "./priority_key.ts";
import type { RequestClass } from "./size_fairness.ts";

/** A waiting request; `key` determines its position in the queue. */
export class QueuedRequest implements HeapItem {
  readonly request: GrantRequest;
  /** Time at which the request can no longer be timely, or expires. */
  standingEndsAt: number;
  readonly standing: RequestStanding;
  /** Value of the response relative to others of its tier and route. */
  readonly value: number;
  readonly requestClass: RequestClass;
  key: number;
  heapIndex = OUTSIDE_HEAP;

  constructor(
    request: GrantRequest,
    options: {
      standing: RequestStanding;
      standingEndsAt: number;
      value: number;
      requestClass: RequestClass;
    },
  ) {
    this.request = request;
    this.standing = options.standing;
    this.standingEndsAt = options.standingEndsAt;
    this.value = options.value;
    this.requestClass = options.requestClass;
    this.key = priorityKey(request, options.standing, options.value);
  }
}

/** What a visitor decides on a request: take it, pass it over, or stop. */
export type VisitResult = "taken" | "passed_over" | "stop";

/** Weight of the insertion order among requests of the same millisecond. */
const SEQUENCE_WEIGHT = 1e-9;

/** Priority queue with access by request id. */
export class RequestQueue {
  readonly #heap = new IndexedHeap<QueuedRequest>();
  readonly #byId = new Map<string, QueuedRequest>();
  #pushed = 0;
  #nextStandingEnd = Infinity;

  /** Time before which no request's standing ends. */
  get nextStandingEnd(): number {
    return this.#nextStandingEnd;
  }

  get size(): number {
    return this.#byId.size;
  }

  push(queued: QueuedRequest): void {
    queued.key += ++this.#pushed * SEQUENCE_WEIGHT;
    this.#byId.set(queued.request.id, queued);
    this.#heap.push(queued);
    this.#nextStandingEnd = Math.min(
      this.#nextStandingEnd,
      queued.standingEndsAt,
    );
  }

  remove(id: string): QueuedRequest | undefined {
    const queued = this.#byId.get(id);
    if (queued === undefined) return undefined;
    this.#byId.delete(id);
    this.#heap.remove(queued);
    return queued;
  }

  /**
   * Passes the requests in order to `visitor` until it returns `stop`, and
   * removes those that it takes. Requests for which no server is available are
   * passed over, so that a slot that only suits a later request is not left
   * idle.
   */
  visit(visitor: (queued: QueuedRequest) => VisitResult): void {
    const passedOver: QueuedRequest[] = [];
    for (;;) {
      const head = this.#heap.peek();
      if (head === undefined) break;
      const result = visitor(head);
      if (result === "stop") break;
      this.#heap.remove(head);
      if (result === "taken") this.#byId.delete(head.request.id);
      else passedOver.push(head);
    }
    for (const queued of passedOver) this.#heap.push(queued);
  }

  /** Removes and returns the requests whose standing has ended. */
  removeDue(now: number): QueuedRequest[] {
    const due: QueuedRequest[] = [];
    this.#nextStandingEnd = Infinity;
    for (const queued of this.#byId.values()) {
      if (queued.standingEndsAt <= now) due.push(queued);
      else {this.#nextStandingEnd = Math.min(
          this.#nextStandingEnd,
          queued.standingEndsAt,
        );}
    }
    for (const { request } of due) this.remove(request.id);
    return due;
  }

  *[Symbol.iterator](): Generator<QueuedRequest> {
    yield* this.#byId.values();
  }
}
