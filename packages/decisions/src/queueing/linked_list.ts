/** A doubly linked list with removal from the middle in constant time. @module */

/** A value's place in one list. */
export class LinkedNode<Value> {
  readonly value: Value;
  previous: LinkedNode<Value> | undefined;
  next: LinkedNode<Value> | undefined;

  constructor(value: Value) {
    this.value = value;
  }
}

/** Oldest at the head, newest at the tail. A node is in one list only. */
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
