/**
 * Backoffs that servers request of one entry.
 *
 * A server that turns a request away may state for how long it wants no further
 * requests of that entry. Other entries may go on sending to it.
 * @module
 */

/** Maximum number of servers; the one that was added first is evicted. */
const MAXIMUM_SERVERS = 4096;

/** Ends of the requested backoffs, by incarnation of the server. */
export class RequestedBackoffs {
  readonly #until = new Map<string, number>();

  /**
   * Records a request for a backoff of `duration` milliseconds. A later request
   * for a shorter one does not end the earlier one.
   */
  record(server: string, duration: number, now: number): void {
    const until = Math.max(this.#until.get(server) ?? 0, now + duration);
    this.#until.delete(server);
    this.#until.set(server, until);
    this.#removeEnded(now);
  }

  /** Milliseconds until the server may be sent requests; 0 if it may now. */
  remaining(server: string, now: number): number {
    const until = this.#until.get(server);
    return until === undefined ? 0 : Math.max(0, until - now);
  }

  /** Servers that request a backoff, with the remaining milliseconds. */
  active(now: number): { server: string; remaining: number }[] {
    this.#removeEnded(now);
    return [...this.#until]
      .map(([server, until]) => ({ server, remaining: until - now }));
  }

  #removeEnded(now: number): void {
    for (const [server, until] of this.#until) {
      if (until <= now) this.#until.delete(server);
    }
    if (this.#until.size <= MAXIMUM_SERVERS) return;
    const [first] = this.#until.keys();
    if (first !== undefined) this.#until.delete(first);
  }
}
