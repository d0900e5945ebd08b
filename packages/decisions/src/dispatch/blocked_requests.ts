/**
 * Requests that no free server may be sent in one pass over the queue. It
 * depends only on the entry and on the data centres in which they may run, so
 * it is found out once for all requests that are alike in both. If one of these
 * lacks memory, those that need more do too.
 * @module
 */
import type { GrantRequest } from "./grant_request.ts";
import { memoryTokensOf } from "./server_memory.ts";
import type { ServerPool } from "./server_pool.ts";
import type { PoolSnapshot } from "./server_selection.ts";

/** Valid for one pass, during which free slots only decrease. */
export class BlockedRequests {
  readonly #pool: ServerPool;
  readonly #snapshot: PoolSnapshot;
  readonly #now: number;
  readonly #blocked = new Map<string, boolean>();
  /** Fewest tokens for which no free server has memory, by kind. */
  readonly #lackingTokens = new Map<string, number>();

  constructor(pool: ServerPool, snapshot: PoolSnapshot, now: number) {
    this.#pool = pool;
    this.#snapshot = snapshot;
    this.#now = now;
  }

  includes(request: GrantRequest): boolean {
    if (this.#pool.hasReservation(request)) return false;
    const kind = kindOf(request);
    const lackingTokens = this.#lackingTokens.get(kind) ?? Infinity;
    if (memoryTokensOf(request) >= lackingTokens) return true;
    return this.#blocked.get(kind) ?? this.update(request);
  }

  /** Records a request for which no free server has enough memory. */
  addLackingMemory(request: GrantRequest): void {
    if (request.excludedServers.length > 0) return;
    const kind = kindOf(request);
    const known = this.#lackingTokens.get(kind) ?? Infinity;
    this.#lackingTokens.set(kind, Math.min(known, memoryTokensOf(request)));
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
