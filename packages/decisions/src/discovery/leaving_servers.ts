/**
 * Servers that have stated in a response that they leave. A server that leaves
 * never takes it back: only its next start, under another incarnation, may be
 * sent requests again.
 * @module
 */

/** Maximum number of servers; the one that was added first is evicted. */
const MAXIMUM_SERVERS = 4096;

/** Incarnations of leaving servers, also of those that are not registered. */
export class LeavingServers {
  readonly #incarnations = new Set<string>();

  /** Returns false if the server was known to leave. */
  add(incarnation: string): boolean {
    if (this.#incarnations.has(incarnation)) return false;
    this.#incarnations.add(incarnation);
    if (this.#incarnations.size > MAXIMUM_SERVERS) {
      const [first] = this.#incarnations;
      if (first !== undefined) this.#incarnations.delete(first);
    }
    return true;
  }

  has(incarnation: string): boolean {
    return this.#incarnations.has(incarnation);
  }
}
