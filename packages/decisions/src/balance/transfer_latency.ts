/** Learns the latency that requests gain by leaving their data centre. @module */

/** Milliseconds of a round trip between data centres before any is observed. */
const INITIAL_LATENCY = 5;
/** Weight of the newest observation; the mean covers about the last ten. */
const NEWEST_WEIGHT = 0.1;
/**
 * Milliseconds that an observation may differ from the mean, so that one
 * stalled response has little effect.
 */
const MAXIMUM_CHANGE = 300;
/**
 * Milliseconds in which a mean decays to 1/e of its difference to the initial
 * one, so that a pair that was slow is used again.
 */
const FADE_TIME = 4000;

type Mean = { latency: number; observedAt: number };

/** Additional milliseconds to the first token, by pair of data centres. */
export class TransferLatency {
  readonly #means = new Map<string, Mean>();

  /** `excess`: milliseconds beyond those expected of the server. */
  observe(from: string, to: string, excess: number, now: number): void {
    const key = `${from} ${to}`;
    const latency = this.expected(from, to, now);
    const change = Math.max(
      -MAXIMUM_CHANGE,
      Math.min(MAXIMUM_CHANGE, excess - latency),
    );
    const learned = Math.max(0, latency + NEWEST_WEIGHT * change);
    this.#means.set(key, { latency: learned, observedAt: now });
  }

  expected(from: string, to: string, now: number): number {
    const mean = this.#means.get(`${from} ${to}`);
    if (mean === undefined) return INITIAL_LATENCY;
    const weight = Math.exp(-(now - mean.observedAt) / FADE_TIME);
    return INITIAL_LATENCY + (mean.latency - INITIAL_LATENCY) * weight;
  }
}
