/**
 * Distinguishes a crash of the backend server from a single broken connection.
 *
 * A request may crash each server that runs it. Such a crash breaks the
 * connections of all running requests at about the same time, and afterwards
 * the server accepts no connection. The requests that were running then become
 * suspects; a request whose connection breaks while the server still responds
 * does not.
 * @module
 */

/** Interruptions within this many milliseconds belong to the same crash. */
const CRASH_WINDOW = 2000;

type Interruption = { fingerprints: readonly string[]; at: number };

/** Collects interrupted requests until it is known if the server crashed. */
export class InterruptedRequests {
  #interruptions: Interruption[] = [];

  /** Records that the connection of a running request broke. */
  record(fingerprints: readonly string[], now: number): void {
    this.#interruptions = this.#interruptions.filter((interruption) =>
      interruption.at > now - CRASH_WINDOW
    );
    if (fingerprints.length > 0) {
      this.#interruptions.push({ fingerprints, at: now });
    }
  }

  /**
   * Returns the fingerprints of each request that was running when the server
   * crashed, and clears the collection.
   */
  flush(now: number): (readonly string[])[] {
    const recent = this.#interruptions.filter((interruption) =>
      interruption.at > now - CRASH_WINDOW
    );
    this.#interruptions = [];
    const byRequest = new Map(
      recent.map(({ fingerprints }) => [fingerprints[0], fingerprints]),
    );
    return [...byRequest.values()];
  }
}
