/**
 * A binary heap whose items know their place, so that any item can be moved or
 * removed in logarithmic time. A plain heap with lazy deletion would keep the
 * dead items of a busy sidecar, where most reservations are withdrawn.
 * @module
 */

/** What an item must offer to be held; `heapIndex` is the heap's alone. */
export type HeapItem = { key: number; heapIndex: number };

/** The `heapIndex` of an item that is in no heap. */
export const OUTSIDE_HEAP = -1;

/** Smallest key first. An item is in at most one heap at a time. */
export class IndexedHeap<Item extends HeapItem> {
  readonly #items: Item[] = [];

  get size(): number {
    return this.#items.length;
  }

  /** The item with the smallest key. */
  peek(): Item | undefined {
    return this.#items[0];
  }

  push(item: Item): void {
    this.#items.push(item);
    this.#rise(item, this.#items.length - 1);
  }

  /** Removes an item; does nothing if the heap does not hold it. */
  remove(item: Item): void {
    const index = item.heapIndex;
    if (index === OUTSIDE_HEAP) {
      return;
    }
    item.heapIndex = OUTSIDE_HEAP;
    const last = this.#items.pop();
    if (last === undefined || last === item) {
      return;
    }
    this.#place(last, index);
  }

  /** Restores the order after the item's key has changed. */
  update(item: Item): void {
    if (item.heapIndex !== OUTSIDE_HEAP) {
      this.#place(item, item.heapIndex);
    }
  }

  #place(item: Item, index: number): void {
    this.#rise(item, index);
    if (item.heapIndex === index) {
      this.#sink(item, index);
    }
  }

  #rise(item: Item, start: number): void {
    let index = start;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.#items[parentIndex];
      if (parent === undefined || parent.key <= item.key) {
        break;
      }
      this.#put(parent, index);
      index = parentIndex;
    }
    this.#put(item, index);
  }

  #sink(item: Item, start: number): void {
    let index = start;
    for (;;) {
      const child = this.#smallerChild(index);
      if (child === undefined || child.key >= item.key) {
        break;
      }
      const childIndex = child.heapIndex;
      this.#put(child, index);
      index = childIndex;
    }
    this.#put(item, index);
  }

  #smallerChild(index: number): Item | undefined {
    const left = this.#items[2 * index + 1];
    const right = this.#items[2 * index + 2];
    if (left === undefined || right === undefined) {
      return left;
    }
    return right.key < left.key ? right : left;
  }

  #put(item: Item, index: number): void {
    this.#items[index] = item;
    item.heapIndex = index;
  }
}
