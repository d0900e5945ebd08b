/**
 * The bounded, stable subset of a fleet that one entry keeps links to.
 *
 * If all were linked, 330 entries and 600 sidecars would have 198,000 links,
 * whose heartbeats alone exceed a node's budget for control traffic. The subset
 * is chosen by rendezvous hashing of entry and server: entries choose different
 * subsets, every server is in about as many of them, and adding or removing a
 * server changes one member of a subset.
 * @module
 */
import type { BackendServer } from "./backend_server.ts";

/** Maximum number of servers outside the subset that are tried in one draw. */
const MAX_REST_DRAWS = 32;

/**
 * Separates the `size` servers with the largest rendezvous hashes from the
 * others.
 */
export class BoundedSubset {
  readonly #size: number;
  readonly #linked: BackendServer[] = [];
  /** Largest rendezvous hash first. */
  readonly #rest: BackendServer[] = [];

  constructor(size: number) {
    this.#size = size;
  }

  /** The servers to keep links to, in no particular order. */
  get linked(): readonly BackendServer[] {
    return this.#linked;
  }

  get count(): number {
    return this.#linked.length + this.#rest.length;
  }

  add(server: BackendServer): void {
    this.#linked.push(server);
    if (this.#linked.length <= this.#size) return;
    const lowest = this.#indexOfLowest();
    const displaced = this.#linked[lowest]!;
    this.#removeLinked(lowest);
    this.#rest.splice(this.#restIndex(displaced), 0, displaced);
  }

  delete(server: BackendServer): void {
    const index = this.#linked.indexOf(server);
    if (index < 0) {
      const position = this.#restIndex(server);
      if (this.#rest[position] === server) this.#rest.splice(position, 1);
      return;
    }
    this.#removeLinked(index);
    const promoted = this.#rest.shift();
    if (promoted !== undefined) this.#linked.push(promoted);
  }

  /**
   * Appends up to `wanted` distinct accepted servers to `found`, drawn
   * uniformly from the subset and, once it is exhausted, from the other
   * servers.
   */
  draw(
    options: {
      wanted: number;
      accept: (server: BackendServer) => boolean;
      random: () => number;
      found: BackendServer[];
    },
  ): void {
    const { wanted, accept, random, found } = options;
    const goal = found.length + wanted;
    const linked = this.#linked;
    for (let next = 0; next < linked.length && found.length < goal; next++) {
      const drawn = next + Math.floor(random() * (linked.length - next));
      const server = linked[drawn]!;
      linked[drawn] = linked[next]!;
      linked[next] = server;
      if (accept(server)) found.push(server);
    }
    const rest = this.#rest;
    const draws = Math.min(rest.length, MAX_REST_DRAWS);
    if (draws === 0 || found.length >= goal) return;
    const start = Math.floor(random() * rest.length);
    for (let next = 0; next < draws && found.length < goal; next++) {
      const server = rest[(start + next) % rest.length]!;
      if (accept(server)) found.push(server);
    }
  }

  #removeLinked(index: number): void {
    const last = this.#linked.pop()!;
    if (index < this.#linked.length) this.#linked[index] = last;
  }

  #indexOfLowest(): number {
    let lowest = 0;
    for (let index = 1; index < this.#linked.length; index++) {
      if (ranksBefore(this.#linked[lowest]!, this.#linked[index]!)) {
        lowest = index;
      }
    }
    return lowest;
  }

  /**
   * Returns the server's index among the other servers, or the index to insert
   * it at.
   */
  #restIndex(server: BackendServer): number {
    let low = 0;
    let high = this.#rest.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (ranksBefore(this.#rest[middle]!, server)) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function ranksBefore(left: BackendServer, right: BackendServer): boolean {
  if (left.rendezvousHash !== right.rendezvousHash) {
    return left.rendezvousHash > right.rendezvousHash;
  }
  return left.name < right.name;
}
