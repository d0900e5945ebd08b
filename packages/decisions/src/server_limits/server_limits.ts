/**
 * Request rates that backend servers say they accept from all entries together.
 *
 * Each entry hears only the answers to its own requests, and words reach others
 * late and out of order. Of two words about a server the younger holds; what a
 * server stopped stating is remembered too, or an older word would revive it.
 * @module
 */

/** Servers that words are kept of; the oldest word goes first. */
const MOST_SERVERS = 4096;

/** What an answer of a server said of its limit. */
export type LimitWord = {
  /** Requests a second; `undefined`: the answer stated no limit. */
  perSecond: number | undefined;
  /** The entry that got the answer. */
  by: string;
  /**
   * Milliseconds: when the limit was heard, or when the request was sent whose
   * answer stated none. Earlier answers may have been under way already.
   */
  heardAt: number;
};

/** A limit in force. */
export type ServerLimit = LimitWord & { perSecond: number };

/** What a word changed. */
export type LimitChange = "changed" | "confirmed" | "nothing";

/** The youngest word of each server, by incarnation; see the module. */
export class ServerLimits {
  readonly #words = new Map<string, LimitWord>();

  /** The limit in force, if the server states one. */
  find(server: string): ServerLimit | undefined {
    const word = this.#words.get(server);
    return word !== undefined && isLimit(word) ? word : undefined;
  }

  /** Takes over a word, unless a younger one is known. */
  learn(server: string, word: LimitWord): LimitChange {
    const known = this.#words.get(server);
    if (known === undefined && !isLimit(word)) return "nothing";
    if (known !== undefined && known.heardAt >= word.heardAt) return "nothing";
    this.#words.delete(server);
    this.#words.set(server, word);
    this.#forgetOldest();
    if (known?.perSecond !== word.perSecond) return "changed";
    return isLimit(word) ? "confirmed" : "nothing";
  }

  /** Servers and their limits in force. */
  *inForce(): Generator<[string, ServerLimit]> {
    for (const [server, word] of this.#words) {
      if (isLimit(word)) yield [server, word];
    }
  }

  #forgetOldest(): void {
    if (this.#words.size <= MOST_SERVERS) return;
    const [oldest] = this.#words.keys();
    if (oldest !== undefined) this.#words.delete(oldest);
  }
}

function isLimit(word: LimitWord): word is ServerLimit {
  return word.perSecond !== undefined;
}
