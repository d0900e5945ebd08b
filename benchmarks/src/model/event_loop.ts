/**
 * Event loop of the simulation, in virtual time. Actions run in order of their
 * time, and those of the same time in the order in which they were scheduled,
 * so that a run depends on its seed only.
 * @module
 */

type ScheduledEvent = { time: number; order: number; action: () => void };

function precedes(left: ScheduledEvent, right: ScheduledEvent): boolean {
  if (left.time !== right.time) return left.time < right.time;
  return left.order < right.order;
}

/** Runs scheduled actions, which it keeps in a binary heap. */
export class EventLoop {
  #now = 0;
  #scheduledCount = 0;
  readonly #heap: ScheduledEvent[] = [];

  /** The current virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Schedules `action` at `time`, or at the current time if that has passed. */
  scheduleAt(time: number, action: () => void): void {
    this.#scheduledCount += 1;
    const event = {
      time: Math.max(time, this.#now),
      order: this.#scheduledCount,
      action,
    };
    this.#heap.push(event);
    this.#siftUp(this.#heap.length - 1);
  }

  /** Schedules `action` in `delay` milliseconds. */
  scheduleAfter(delay: number, action: () => void): void {
    this.scheduleAt(this.#now + delay, action);
  }

  /** Runs all actions up to the time `end`; later ones don't run. */
  runUntil(end: number): void {
    while (true) {
      const event = this.#pop();
      if (event === undefined || event.time > end) return;
      this.#now = event.time;
      event.action();
    }
  }

  #pop(): ScheduledEvent | undefined {
    const first = this.#heap[0];
    const last = this.#heap.pop();
    if (first === undefined || last === undefined) return undefined;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
    return first;
  }

  #siftUp(start: number): void {
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

  #siftDown(): void {
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
