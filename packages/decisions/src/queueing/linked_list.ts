/** A doubly linked list that removes any node in constant time. @module */

/** A list node that holds one value. */
export class LinkedNode<Value> {
  readonly value: Value;
  previous: LinkedNode<Value> | undefined;
  next: LinkedNode<Value> | undefined;

  constructor(value: Value) {
    this.value = value;
  }
}

/**
 * The head is the oldest value and the tail the newest. A node may be in at
 * most one list at a time.
 */
export class LinkedList<Value> {
  #head: LinkedNode<Value> | undefined;
  #tail: LinkedNode<Value> | undefined;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  get oldest(): Value | undefined {
    return this.#head?.value;
  }

  get newest(): Value | undefined {
    return this.#tail?.value;
  }

  append(node: LinkedNode<Value>): void {
    node.previous = this.#tail;
    node.next = undefined;
    if (this.#tail === undefined) {
      this.#head = node;
    } else {
      this.#tail.next = node;
    }
    this.#tail = node;
    this.#size += 1;
  }

  remove(node: LinkedNode<Value>): void {
    if (node.previous === undefined) {
      this.#head = node.next;
    } else {
      node.previous.next = node.next;
    }
    if (node.next === undefined) {
      this.#tail = node.previous;
    } else {
      node.next.previous = node.previous;
    }
    node.previous = undefined;
    node.next = undefined;
    this.#size -= 1;
  }
}
