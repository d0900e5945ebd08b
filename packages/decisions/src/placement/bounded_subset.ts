/**
 * The bounded, stable part of a fleet that one entry keeps links to. Without
 * it 330 entries and 600 sidecars hold 198,000 links, whose heartbeats alone
 * exceed what a node may spend on control. Members are ranked by a hash of
 * entry and server, so entries pick unlike subsets, every server is in about
 * as many of them, and one server's coming or going changes one place.
 * @module
 */
import type { BackendServer } from "./backend_server.ts";

/** Draws beyond the subset stop after this many refused candidates. */
const REST_DRAWS = 32;

/** Keeps the `size` members of highest affinity apart from the rest. */
export class BoundedSubset {
  readonly #size: number;
  readonly #kept: BackendServer[] = [];
  /** Highest affinity first. */
  readonly #rest: BackendServer[] = [];

  constructor(size: number) {
    this.#size = size;
  }

  /** Members to keep links to, in no order. */
  get kept(): readonly BackendServer[] {
    return this.#kept;
  }

  get count(): number {
    return this.#kept.length + this.#rest.length;
  }

  add(server: BackendServer): void {
    this.#kept.push(server);
    if (this.#kept.length <= this.#size) return;
    const lowest = this.#indexOfLowest();
    const displaced = this.#kept[lowest]!;
    this.#removeKept(lowest);
    this.#rest.splice(this.#restIndex(displaced), 0, displaced);
  }

  delete(server: BackendServer): void {
    const index = this.#kept.indexOf(server);
    if (index < 0) {
      const position = this.#restIndex(server);
      if (this.#rest[position] === server) this.#rest.splice(position, 1);
      return;
    }
    this.#removeKept(index);
    const promoted = this.#rest.shift();
    if (promoted !== undefined) this.#kept.push(promoted);
  }

  /**
   * Appends up to `wanted` distinct accepted members to `found`, drawn evenly
   * from the subset and, when that is used up, from the rest.
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
    const kept = this.#kept;
    for (let next = 0; next < kept.length && found.length < goal; next++) {
      const drawn = next + Math.floor(random() * (kept.length - next));
      const server = kept[drawn]!;
      kept[drawn] = kept[next]!;
      kept[next] = server;
      if (accept(server)) found.push(server);
    }
    const rest = this.#rest;
    const draws = Math.min(rest.length, REST_DRAWS);
    if (draws === 0 || found.length >= goal) return;
    const start = Math.floor(random() * rest.length);
    for (let next = 0; next < draws && found.length < goal; next++) {
      const server = rest[(start + next) % rest.length]!;
      if (accept(server)) found.push(server);
    }
  }

  #removeKept(index: number): void {
    const last = this.#kept.pop()!;
    if (index < this.#kept.length) this.#kept[index] = last;
  }

  #indexOfLowest(): number {
    let lowest = 0;
    for (let index = 1; index < this.#kept.length; index++) {
      if (ranksBefore(this.#kept[lowest]!, this.#kept[index]!)) lowest = index;
    }
    return lowest;
  }

  /** Index at which the member stands, or would stand, in the rest. */
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
  if (left.affinity !== right.affinity) return left.affinity > right.affinity;
  return left.name < right.name;
}
