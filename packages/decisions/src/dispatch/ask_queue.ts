/** Asks that wait, in the order of {@link askKey}. @module */
import { IndexedHeap, OUTSIDE_HEAP } from "../queueing/indexed_heap.ts";
import type { HeapItem } from "../queueing/indexed_heap.ts";
import type { Ask } from "./ask.ts";
import { askKey } from "./ask_value.ts";
import type { AskStanding } from "./ask_value.ts";

/** One waiting ask; `key` is its place in the order. */
export class WaitingAsk implements HeapItem {
  readonly ask: Ask;
  /** Instant after which it can't be on time, or is of no use any more. */
  changesAt: number;
  readonly standing: AskStanding;
  /** Of the answer, beside the others of its tier. */
  readonly value: number;
  key: number;
  heapIndex = OUTSIDE_HEAP;

  constructor(
    ask: Ask,
    place: { standing: AskStanding; changesAt: number; value: number },
  ) {
    this.ask = ask;
    this.standing = place.standing;
    this.changesAt = place.changesAt;
    this.value = place.value;
    this.key = askKey(ask, place.standing, place.value);
  }
}

/**
 * Asks passed over in one search before it ends: a bound on its time. A burst has
 * 30 to 60 waiting, and long prompts in front find no room at slow servers.
 */
const MOST_PASSED_OVER = 40;

/** Weight of the order of arrival among asks of one millisecond. */
const SEQUENCE_WEIGHT = 1e-9;

/** See the module. */
export class AskQueue {
  readonly #heap = new IndexedHeap<WaitingAsk>();
  readonly #byId = new Map<string, WaitingAsk>();
  #pushed = 0;

  get size(): number {
    return this.#byId.size;
  }

  push(waiting: WaitingAsk): void {
    waiting.key += ++this.#pushed * SEQUENCE_WEIGHT;
    this.#byId.set(waiting.ask.id, waiting);
    this.#heap.push(waiting);
  }

  remove(id: string): WaitingAsk | undefined {
    const waiting = this.#byId.get(id);
    if (waiting === undefined) return undefined;
    this.#byId.delete(id);
    this.#heap.remove(waiting);
    return waiting;
  }

  /**
   * Removes the first ask that `admits`. Those before it that find no room are
   * passed over, so that a place that fits only others is not left idle.
   */
  take(admits: (ask: Ask) => boolean): WaitingAsk | undefined {
    const passed: WaitingAsk[] = [];
    let found: WaitingAsk | undefined;
    while (passed.length < MOST_PASSED_OVER) {
      const head = this.#heap.peek();
      if (head === undefined) break;
      this.#heap.remove(head);
      if (admits(head.ask)) {
        this.#byId.delete(head.ask.id);
        found = head;
        break;
      }
      passed.push(head);
    }
    for (const waiting of passed) this.#heap.push(waiting);
    return found;
  }

  /** Those whose standing ends by `now`. */
  *due(now: number): Generator<WaitingAsk> {
    for (const waiting of [...this.#byId.values()]) {
      if (waiting.changesAt <= now) yield waiting;
    }
  }

  *[Symbol.iterator](): Generator<WaitingAsk> {
    yield* this.#byId.values();
  }
}
