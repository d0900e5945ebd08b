/**
 * Rate limits that backend servers state for all entries together.
 *
 * Each entry observes only the responses to its own requests, and its
 * observations reach other entries late and out of order. Of two observations
 * of a server the newer one counts. The end of a limit is remembered too,
 * because otherwise an older observation would reinstate the limit.
 * @module
 */

/**
 * Maximum number of servers; the one with the oldest observation is evicted.
 */
const MAXIMUM_SERVERS = 4096;

/** What a response of a server stated about its limit. */
export type LimitObservation = {
  /** Requests per second; `undefined` if the response stated no limit. */
  perSecond: number | undefined;
  /** The entry that received the response. */
  by: string;
  /**
   * Time in milliseconds at which the limit was received. If the response
   * stated no limit, the time at which its request was sent: the response may
   * have been on its way already when others stated a limit.
   */
  observedAt: number;
};

/** A limit that is in force. */
export type ServerLimit = LimitObservation & { perSecond: number };

/** Effect of an observation on the known limit. */
export type LimitChange = "changed" | "confirmed" | "nothing";

/** The newest observation of each server, by incarnation. */
export class ServerLimits {
  readonly #latest = new Map<string, LimitObservation>();

  /** Returns the limit in force, if the server states one. */
  find(server: string): ServerLimit | undefined {
    const observation = this.#latest.get(server);
    return observation !== undefined && isLimit(observation)
      ? observation
      : undefined;
  }

  /** Records an observation, unless a newer one is known. */
  observe(server: string, observation: LimitObservation): LimitChange {
    const known = this.#latest.get(server);
    if (known === undefined && !isLimit(observation)) return "nothing";
    if (known !== undefined && known.observedAt >= observation.observedAt) {
      return "nothing";
    }
    this.#latest.delete(server);
    this.#latest.set(server, observation);
    this.#evictOldest();
    if (known?.perSecond !== observation.perSecond) return "changed";
    return isLimit(observation) ? "confirmed" : "nothing";
  }

  /** Yields the servers that have a limit in force, with their limits. */
  *activeLimits(): Generator<[string, ServerLimit]> {
    for (const [server, observation] of this.#latest) {
      if (isLimit(observation)) yield [server, observation];
    }
  }

  #evictOldest(): void {
    if (this.#latest.size <= MAXIMUM_SERVERS) return;
    const [oldest] = this.#latest.keys();
    if (oldest !== undefined) this.#latest.delete(oldest);
  }
}

function isLimit(observation: LimitObservation): observation is ServerLimit {
  return observation.perSecond !== undefined;
}
