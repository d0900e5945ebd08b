/**
 * Request rates that backend servers say they accept from all entries together.
 *
 * Each entry sees only the answers to its own requests, and what it observes
 * reaches others late and out of order. Of two observations of a server the newer
 * one holds; the end of a limit is remembered too, or an older observation would
 * put it in force again.
 * @module
 */

/** Servers that are remembered; the one with the oldest observation is dropped. */
const MOST_SERVERS = 4096;

/** What an answer of a server said of its limit. */
export type LimitObservation = {
  /** Requests a second; `undefined`: the answer stated no limit. */
  perSecond: number | undefined;
  /** The entry that got the answer. */
  by: string;
  /**
   * Milliseconds: when the limit was heard, or when the request was sent whose
   * answer stated none. Earlier answers may have been under way already.
   */
  observedAt: number;
};

/** A limit in force. */
export type ServerLimit = LimitObservation & { perSecond: number };

/** What an observation changed. */
export type LimitChange = "changed" | "confirmed" | "nothing";

/** The newest observation of each server, by incarnation; see the module. */
export class ServerLimits {
  readonly #latest = new Map<string, LimitObservation>();

  /** The limit in force, if the server states one. */
  find(server: string): ServerLimit | undefined {
    const observation = this.#latest.get(server);
    return observation !== undefined && isLimit(observation)
      ? observation
      : undefined;
  }

  /** Takes over an observation, unless a newer one is known. */
  observe(server: string, observation: LimitObservation): LimitChange {
    const known = this.#latest.get(server);
    if (known === undefined && !isLimit(observation)) return "nothing";
    if (known !== undefined && known.observedAt >= observation.observedAt) {
      return "nothing";
    }
    this.#latest.delete(server);
    this.#latest.set(server, observation);
    this.#forgetOldest();
    if (known?.perSecond !== observation.perSecond) return "changed";
    return isLimit(observation) ? "confirmed" : "nothing";
  }

  /** Servers and their limits in force. */
  *activeLimits(): Generator<[string, ServerLimit]> {
    for (const [server, observation] of this.#latest) {
      if (isLimit(observation)) yield [server, observation];
    }
  }

  #forgetOldest(): void {
    if (this.#latest.size <= MOST_SERVERS) return;
    const [oldest] = this.#latest.keys();
    if (oldest !== undefined) this.#latest.delete(oldest);
  }
}

function isLimit(observation: LimitObservation): observation is ServerLimit {
  return observation.perSecond !== undefined;
}
