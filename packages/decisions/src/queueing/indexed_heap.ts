/**
 * A binary heap whose items store their own index, so that any item can be
 * moved or removed in O(log n).
 *
 * A plain heap with lazy deletion would fill up with deleted items on a busy
 * sidecar, where most reservations are withdrawn.
 * @module
 */

/**
 * An item that a heap can hold. `heapIndex` is maintained by the heap and must
 * not be changed elsewhere.
 */
export type HeapItem = { key: number; heapIndex: number };

/** The `heapIndex` of an item that is in no heap. */
export const OUTSIDE_HEAP = -1;

/**
 * A min-heap ordered by `key`. An item may be in at most one heap at a time.
 */
export class IndexedHeap<Item extends HeapItem> {
  readonly #items: Item[] = [];

  get size(): number {
    return this.#items.length;
  }

  /** Returns the item with the smallest key without removing it. */
  peek(): Item | undefined {
    return this.#items[0];
  }

  push(item: Item): void {
    this.#items.push(item);
    this.#siftUp(item, this.#items.length - 1);
  }

  /** Removes an item; does nothing if the item is in no heap. */
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
    this.#restoreOrder(last, index);
  }

  /** Restores the order after the item's key has changed. */
  update(item: Item): void {
    if (item.heapIndex !== OUTSIDE_HEAP) {
      this.#restoreOrder(item, item.heapIndex);
    }
  }

  #restoreOrder(item: Item, index: number): void {
    this.#siftUp(item, index);
    if (item.heapIndex === index) {
      this.#siftDown(item, index);
    }
  }

  #siftUp(item: Item, start: number): void {
    let index = start;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.#items[parentIndex];
      if (parent === undefined || parent.key <= item.key) {
        break;
      }
      this.#setAt(parent, index);
      index = parentIndex;
    }
    this.#setAt(item, index);
  }

  #siftDown(item: Item, start: number): void {
    let index = start;
    for (;;) {
      const child = this.#smallerChild(index);
      if (child === undefined || child.key >= item.key) {
        break;
      }
      const childIndex = child.heapIndex;
      this.#setAt(child, index);
      index = childIndex;
    }
    this.#setAt(item, index);
  }

  #smallerChild(index: number): Item | undefined {
    const left = this.#items[2 * index + 1];
    const right = this.#items[2 * index + 2];
    if (left === undefined || right === undefined) {
      return left;
    }
    return right.key < left.key ? right : left;
  }

  #setAt(item: Item, index: number): void {
    this.#items[index] = item;
    item.heapIndex = index;
  }
}
