/**
 * The capacity that the long, or the short, requests of one engine use.
 * @module
 */
import type { Cost } from "../queueing/waiting_reservation.ts";

/**
 * Sequences and tokens count from the grant to the end of a request, prefills
 * and their tokens from the grant to the first token.
 */
export class CapacityUsage {
  sequences = 0;
  tokens = 0;
  prefills = 0;
  prefillTokens = 0;
  /** Tokens of the requests that have their first token. */
  decodingTokens = 0;

  recordStart(cost: Cost): void {
    this.sequences += 1;
    this.tokens += tokensOf(cost);
    this.prefills += 1;
    this.prefillTokens += cost.promptTokens;
  }

  recordPrefillEnd(cost: Cost): void {
    this.prefills -= 1;
    this.prefillTokens -= cost.promptTokens;
    this.decodingTokens += tokensOf(cost);
  }

  recordEnd(cost: Cost): void {
    this.sequences -= 1;
    this.tokens -= tokensOf(cost);
    this.decodingTokens -= tokensOf(cost);
  }
}

/**
 * Returns the tokens that a request occupies in the engine's memory by its end.
 */
export function tokensOf(cost: Cost): number {
  return cost.promptTokens + cost.outputTokens;
}
