/**
 * Finds a prefix key's preferred backend servers without visiting the fleet.
 * All entries find the same ones without talking to each other, so a prefix is
 * kept in few caches; a server's coming or going moves only its own share. The
 * ring is cut into buckets, since inserting into one sorted list costs a
 * millisecond at 600 servers and a restarted entry adds all of them at once.
 * @module
 */
import type { BackendServer } from "./backend_server.ts";
import type { HashText } from "./hash_text.ts";

/**
 * Points of each server on the ring. The spread of the shares falls with its
 * square root: 32 points leave about 18 %, which the load's say evens out.
 */
const POINTS_PER_SERVER = 32;

/** Power of two; leaves some 20 points in each at 600 servers. */
const BUCKETS = 1024;
const BUCKET_SHIFT = 32 - Math.log2(BUCKETS);

/** Points that one lookup may pass before it gives up. */
const LONGEST_WALK = 128;

type Point = { hash: number; owner: BackendServer };

/** A consistent hash ring of backend servers. */
export class HashRing {
  readonly #hash: HashText;
  /** By the hash's leading bits; each in the order of the ring. */
  readonly #buckets: Point[][] = Array.from({ length: BUCKETS }, () => []);

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

  /** Visits owners clockwise from the key, repeats included, until told to stop. */
  walk(key: string, visit: (server: BackendServer) => "go on" | "stop"): void {
    const start = this.#hash(key);
    const first = start >>> BUCKET_SHIFT;
    let visited = 0;
    for (let step = 0; step < BUCKETS; step++) {
      const bucket = this.#buckets[(first + step) % BUCKETS]!;
      for (const { hash, owner } of bucket) {
        if (step === 0 && hash < start) continue;
        if (visit(owner) === "stop" || ++visited >= LONGEST_WALK) return;
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

/** Equal hashes go by name, so that all entries order them alike. */
function comesBefore(left: Point, right: Point): boolean {
  if (left.hash !== right.hash) return left.hash < right.hash;
  return left.owner.name < right.owner.name;
}
