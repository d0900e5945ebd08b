/**
 * Virtual time: actions run in order of their time, ties in order of their
 * scheduling, so that a run depends on nothing but its seed.
 * @module
 */

type Event = { time: number; order: number; action: () => void };

function precedes(left: Event, right: Event): boolean {
  if (left.time !== right.time) return left.time < right.time;
  return left.order < right.order;
}

/** A binary heap of actions and the present time, in milliseconds. */
export class EventLoop {
  #now = 0;
  #scheduled = 0;
  readonly #heap: Event[] = [];

  /** The present virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Runs `action` at `time`, or at once when that has passed. */
  at(time: number, action: () => void): void {
    this.#scheduled += 1;
    const event = {
      time: Math.max(time, this.#now),
      order: this.#scheduled,
      action,
    };
    this.#heap.push(event);
    this.#rise(this.#heap.length - 1);
  }

  /** Runs `action` when `delay` milliseconds have passed. */
  after(delay: number, action: () => void): void {
    this.at(this.#now + delay, action);
  }

  /** Runs every action up to `end`; later ones are dropped. */
  run(end: number): void {
    while (true) {
      const event = this.#pop();
      if (event === undefined || event.time > end) return;
      this.#now = event.time;
      event.action();
    }
  }

  #pop(): Event | undefined {
    const first = this.#heap[0];
    const last = this.#heap.pop();
    if (first === undefined || last === undefined) return undefined;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#sink();
    }
    return first;
  }

  #rise(start: number): void {
    let index = start;
    const event = this.#heap[index]!;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!precedes(event, this.#heap[parent]!)) break;
      this.#heap[index] = this.#heap[parent]!;
      index = parent;
    }
    this.#heap[index] = event;
  }

  #sink(): void {
    const heap = this.#heap;
    const event = heap[0]!;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && precedes(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!precedes(heap[child]!, event)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = event;
  }
}
