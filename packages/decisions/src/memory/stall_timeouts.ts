/**
 * Learns the stall timeouts of servers: for how long they keep a response that
 * is not read. Servers don't state it, so that only responses which they have cut
 * off while they were paused show it.
 * @module
 */

/** Milliseconds for which servers are taken to wait until more is known. */
const INITIAL_STALL_TIMEOUT = 2000;
/**
 * Lower bound of the learned time in milliseconds: a pause that is shorter than
 * a few checks of the paused responses can't be kept any shorter.
 */
const MINIMUM_STALL_TIMEOUT = 200;
/**
 * Milliseconds after which a learned time is forgotten. A response may break
 * during a pause for other reasons as well.
 */
const FORGET_AFTER = 60_000;

type LearnedTimeout = { timeout: number; learnedAt: number };

/** How long servers wait, by service; all times in milliseconds. */
export class StallTimeouts {
  readonly #learned = new Map<string, LearnedTimeout>();

  /** The shortest pause after which a server of the service may cut off. */
  of(service: string, now: number): number {
    const learned = this.#learned.get(service);
    if (learned === undefined || now - learned.learnedAt > FORGET_AFTER) {
      return INITIAL_STALL_TIMEOUT;
    }
    return learned.timeout;
  }

  /**
   * Records that a response was cut off during a pause of `paused`. The server
   * may have cut it off at any time before, as a paused connection shows its end
   * only when it is read again, so a longer pause than expected tells nothing.
   */
  recordCutOff(service: string, paused: number, now: number): void {
    const timeout = Math.min(
      this.of(service, now),
      Math.max(MINIMUM_STALL_TIMEOUT, paused),
    );
    this.#learned.set(service, { timeout, learnedAt: now });
  }
}
