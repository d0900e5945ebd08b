/**
 * A consistent hash ring that finds the preferred backend servers of a prefix
 * key without visiting the whole fleet.
 *
 * All entries find the same servers without communicating, so a prefix is kept
 * in few caches. Adding or removing a server moves only that server's share of
 * the keys. The points are kept in buckets because inserting into one sorted
 * list takes a millisecond at 600 servers, and a restarted entry adds all of
 * them at once.
 * @module
 */
import type { BackendServer } from "./backend_server.ts";
import type { HashText } from "./hash_text.ts";

/**
 * Points of each server on the ring. The relative spread of the servers' shares
 * falls with the square root of this number: 32 points leave about 18 %, which
 * load-based spilling evens out.
 */
const POINTS_PER_SERVER = 32;

/** A power of two; at 600 servers each bucket holds about 20 points. */
const BUCKET_COUNT = 1024;
const BUCKET_SHIFT = 32 - Math.log2(BUCKET_COUNT);

/** Maximum number of points that one lookup visits. */
const MAX_VISITED_POINTS = 128;

type Point = { hash: number; owner: BackendServer };

/** A consistent hash ring of backend servers. */
export class HashRing {
  readonly #hash: HashText;
  /**
   * Indexed by the leading bits of the hash; the points of a bucket are in ring
   * order.
   */
  readonly #buckets: Point[][] = Array.from({ length: BUCKET_COUNT }, () => []);

  constructor(hash: HashText) {
    this.#hash = hash;
  }

  add(server: BackendServer): void {
    for (const hash of this.#hashesOf(server)) {
      const bucket = this.#bucketOf(hash);
      const point = { hash, owner: server };
      const index = bucket.findIndex((other) => comesBefore(point, other));
      if (index < 0) bucket.push(point);
      else bucket.splice(index, 0, point);
    }
  }

  delete(server: BackendServer): void {
    for (const hash of this.#hashesOf(server)) {
      const bucket = this.#bucketOf(hash);
      const index = bucket.findIndex((point) => point.owner === server);
      if (index >= 0) bucket.splice(index, 1);
    }
  }

  /**
   * Calls `visit` for the owners of the points clockwise from the key,
   * including repeats, until it returns `stop`.
   */
  walk(
    key: string,
    visit: (server: BackendServer) => "continue" | "stop",
  ): void {
    const start = this.#hash(key);
    const first = start >>> BUCKET_SHIFT;
    let visited = 0;
    for (let step = 0; step < BUCKET_COUNT; step++) {
      const bucket = this.#buckets[(first + step) % BUCKET_COUNT]!;
      for (const { hash, owner } of bucket) {
        if (step === 0 && hash < start) continue;
        if (visit(owner) === "stop" || ++visited >= MAX_VISITED_POINTS) return;
      }
    }
    for (const { hash, owner } of this.#buckets[first]!) {
      if (hash >= start || visit(owner) === "stop") return;
    }
  }

  #hashesOf(server: BackendServer): number[] {
    const hashes: number[] = [];
    for (let point = 0; point < POINTS_PER_SERVER; point++) {
      hashes.push(this.#hash(`${server.name}#${point}`));
    }
    return hashes;
  }

  #bucketOf(hash: number): Point[] {
    return this.#buckets[hash >>> BUCKET_SHIFT]!;
  }
}

/**
 * Points with equal hashes are ordered by name, so that all entries use the
 * same order.
 */
function comesBefore(left: Point, right: Point): boolean {
  if (left.hash !== right.hash) return left.hash < right.hash;
  return left.owner.name < right.owner.name;
}
