/**
 * Time as a process sees it, and how much of it the process missed.
 *
 * A machine may be suspended for seconds. Its steady clock stands still
 * meanwhile, so deadlines would seem to lie further away than they do for
 * callers: requests would be handed on with time that nobody has left. The time
 * since boot goes on; the difference of the two is added here.
 * @module
 */
import { uptime } from "node:os";

/** Milliseconds by which the two clocks may differ without a suspension. */
const TOLERANCE = 50;

/** Milliseconds since some fixed instant, suspensions included. */
export class SuspensionClock {
  readonly #steady: () => number;
  readonly #sinceBoot: () => number;
  #offset: number;

  constructor(
    steady: () => number = () => performance.now(),
    sinceBoot: () => number = () => uptime() * 1000,
  ) {
    this.#steady = steady;
    this.#sinceBoot = sinceBoot;
    this.#offset = sinceBoot() - steady();
  }

  now(): number {
    const steady = this.#steady();
    const offset = this.#sinceBoot() - steady;
    if (offset > this.#offset + TOLERANCE) this.#offset = offset;
    return steady + this.#offset;
  }
}
