/**
 * Limits the tokens that each server of a service holds, since an engine whose
 * requests exceed its memory crashes.
 *
 * Load condition addressed: large requests coincide at one server. A request
 * that finds no server with enough free memory waits while smaller ones are
 * granted. These would take the memory as it becomes free, again and again, so
 * a request that has waited for a while gets a reservation: one server is sent
 * no other requests until it has enough free memory.
 * @module
 */
import type { GrantRequest } from "./grant_request.ts";

/**
 * Part of the time to its latency goal that a request waits for memory before a
 * server is reserved for it. The runs of the server need the rest of this time
 * to end.
 */
const UNRESERVED_WAIT_FRACTION = 0.5;

/** What a request needs of a server's memory. */
type MemoryNeed = Pick<GrantRequest, "memoryTokens" | "cost">;

type Reservation = { id: string; server: string; tokens: number };

/**
 * Tokens of memory that a request needs at most. An earlier version does not
 * state them; then the expected response counts.
 */
export function memoryTokensOf({ memoryTokens, cost }: MemoryNeed): number {
  return memoryTokens ?? cost.promptTokens + cost.outputTokens;
}

/** Memory of the servers of one service, in tokens. */
export class ServerMemory {
  /** Tokens that a server holds; unlimited if `undefined`. */
  #capacity: number | undefined;
  /** Part of the capacity that this group of entries uses. */
  #fraction = 1;
  #reservation: Reservation | undefined;

  setCapacity(tokens: number | undefined): void {
    this.#capacity = tokens;
    if (tokens === undefined) this.#reservation = undefined;
  }

  setFraction(fraction: number): void {
    this.#fraction = fraction;
  }

  /** True if no server can hold the request even without any other. */
  isExceededBy(request: MemoryNeed): boolean {
    return this.#capacity !== undefined &&
      memoryTokensOf(request) > this.#capacity;
  }

  /** Tokens that a server can take in addition to those that it holds. */
  freeTokens(heldTokens: number): number {
    if (this.#capacity === undefined) return Infinity;
    return this.#capacity * this.#fraction - heldTokens;
  }

  /** Whether a server that holds `heldTokens` has room for a request. */
  admits(
    request: MemoryNeed & Pick<GrantRequest, "id">,
    server: string,
    heldTokens: number,
  ): boolean {
    return !this.isReservedForOthers(server, request) &&
      memoryTokensOf(request) <= this.freeTokens(heldTokens);
  }

  /** Whether a server is reserved for another request. */
  isReservedForOthers(
    server: string,
    { id }: Partial<Pick<GrantRequest, "id">>,
  ): boolean {
    return this.#reservation?.server === server && this.#reservation.id !== id;
  }

  isReservedFor({ id }: Pick<GrantRequest, "id">): boolean {
    return this.#reservation?.id === id;
  }

  /** Whether the request has waited so long that a server is reserved for it. */
  isDue(
    request: MemoryNeed & Pick<GrantRequest, "arrived" | "latencyGoalAt">,
    now: number,
  ): boolean {
    if (this.#reservation !== undefined) return false;
    if (memoryTokensOf(request) > this.freeTokens(0)) return false;
    const { arrived, latencyGoalAt } = request;
    const goal = latencyGoalAt - arrived;
    return now - arrived >= UNRESERVED_WAIT_FRACTION * goal;
  }

  reserve(
    request: MemoryNeed & Pick<GrantRequest, "id">,
    server: string,
  ): void {
    const { id } = request;
    this.#reservation = { id, server, tokens: memoryTokensOf(request) };
  }

  /** Whether a server is reserved and has no room for that request yet. */
  isDraining(server: string, heldTokens: number): boolean {
    const reservation = this.#reservation;
    return reservation?.server === server &&
      reservation.tokens > this.freeTokens(heldTokens);
  }

  /** Ends the reservation of a request, if it has one. */
  release({ id }: Pick<GrantRequest, "id">): void {
    if (this.#reservation?.id === id) this.#reservation = undefined;
  }

  /** Ends the reservation of a server that has left. */
  releaseServer(server: string): void {
    if (this.#reservation?.server === server) this.#reservation = undefined;
  }
}
