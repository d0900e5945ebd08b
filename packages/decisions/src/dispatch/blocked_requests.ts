/**
 * Requests that no free server may be sent in one pass over the queue. It
 * depends only on the entry and on the data centres in which they may run, so
 * it is found out once for all requests that are alike in both.
 * @module
 */
import type { GrantRequest } from "./grant_request.ts";
import type { ServerPool } from "./server_pool.ts";
import type { PoolSnapshot } from "./server_selection.ts";

/** Valid for one pass, during which free slots only decrease. */
export class BlockedRequests {
  readonly #pool: ServerPool;
  readonly #snapshot: PoolSnapshot;
  readonly #now: number;
  readonly #blocked = new Map<string, boolean>();

  constructor(pool: ServerPool, snapshot: PoolSnapshot, now: number) {
    this.#pool = pool;
    this.#snapshot = snapshot;
    this.#now = now;
  }

  includes(request: GrantRequest): boolean {
    return this.#blocked.get(kindOf(request)) ?? this.update(request);
  }

  /** Looks again, after grants of this pass have taken slots. */
  update(request: GrantRequest): boolean {
    const blocked = !this.#pool
      .hasServerFor(request, this.#snapshot, this.#now);
    this.#blocked.set(kindOf(request), blocked);
    return blocked;
  }
}

function kindOf({ entry, allowedDataCentres }: GrantRequest): string {
  return allowedDataCentres === undefined
    ? entry
    : JSON.stringify([entry, allowedDataCentres]);
}
