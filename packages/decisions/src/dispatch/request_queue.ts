/** Asks that wait, in the order of {@link askKey}. @module */
import { IndexedHeap, OUTSIDE_HEAP } from "../queueing/indexed_heap.ts";
import type { HeapItem } from "../queueing/indexed_heap.ts";
import type { AskStanding, GrantRequest } from "./grant_request.ts";
import { askKey } from "./priority_key.ts";
import type { SizedKind } from "./size_fairness.ts";

/** One waiting ask; `key` is its place in the order. */
export class WaitingAsk implements HeapItem {
  readonly ask: GrantRequest;
  /** Instant after which it can't be on time, or is of no use any more. */
  changesAt: number;
  readonly standing: AskStanding;
  /** Of the answer, beside the others of its tier. */
  readonly value: number;
  readonly sizedKind: SizedKind;
  key: number;
  heapIndex = OUTSIDE_HEAP;

  constructor(
    ask: GrantRequest,
    place: {
      standing: AskStanding;
      changesAt: number;
      value: number;
      sizedKind: SizedKind;
    },
  ) {
    this.ask = ask;
    this.standing = place.standing;
    this.changesAt = place.changesAt;
    this.value = place.value;
    this.sizedKind = place.sizedKind;
    this.key = askKey(ask, place.standing, place.value);
  }
}

/** What becomes of an ask that is looked at. */
export type Look = "taken" | "passed_over" | "stop";

/** Weight of the order of arrival among asks of one millisecond. */
const SEQUENCE_WEIGHT = 1e-9;

/** See the module. */
export class AskQueue {
  readonly #heap = new IndexedHeap<WaitingAsk>();
  readonly #byId = new Map<string, WaitingAsk>();
  #pushed = 0;
  #changesAt = Infinity;

  /** Instant before which no standing ends. */
  get changesAt(): number {
    return this.#changesAt;
  }

  get size(): number {
    return this.#byId.size;
  }

  push(waiting: WaitingAsk): void {
    waiting.key += ++this.#pushed * SEQUENCE_WEIGHT;
    this.#byId.set(waiting.ask.id, waiting);
    this.#heap.push(waiting);
    this.#changesAt = Math.min(this.#changesAt, waiting.changesAt);
  }

  remove(id: string): WaitingAsk | undefined {
    const waiting = this.#byId.get(id);
    if (waiting === undefined) return undefined;
    this.#byId.delete(id);
    this.#heap.remove(waiting);
    return waiting;
  }

  /**
   * Looks at the asks in order until `look` says to stop, and removes those that
   * it takes. Those that find no room are passed over, so that a place that fits
   * only others is not left idle.
   */
  sweep(look: (waiting: WaitingAsk) => Look): void {
    const passed: WaitingAsk[] = [];
    for (;;) {
      const head = this.#heap.peek();
      if (head === undefined) break;
      const result = look(head);
      if (result === "stop") break;
      this.#heap.remove(head);
      if (result === "taken") this.#byId.delete(head.ask.id);
      else passed.push(head);
    }
    for (const waiting of passed) this.#heap.push(waiting);
  }

  /** Removes those whose standing ends by `now`. */
  takeDue(now: number): WaitingAsk[] {
    const due: WaitingAsk[] = [];
    this.#changesAt = Infinity;
    for (const waiting of this.#byId.values()) {
      if (waiting.changesAt <= now) due.push(waiting);
      else this.#changesAt = Math.min(this.#changesAt, waiting.changesAt);
    }
    for (const { ask } of due) this.remove(ask.id);
    return due;
  }

  *[Symbol.iterator](): Generator<WaitingAsk> {
    yield* this.#byId.values();
  }
}
