/** What the long, or the short, requests of one engine hold. @module */
import type { Cost } from "../queueing/waiting_reservation.ts";

/** Held from the grant to the end; prefill from the grant to the first token. */
export class WorkBudget {
  sequences = 0;
  tokens = 0;
  prefills = 0;
  prefillTokens = 0;
  /** Tokens of those that have their first token. */
  decodingTokens = 0;

  start(cost: Cost): void {
    this.sequences += 1;
    this.tokens += tokensOf(cost);
    this.prefills += 1;
    this.prefillTokens += cost.promptTokens;
  }

  endPrefill(cost: Cost): void {
    this.prefills -= 1;
    this.prefillTokens -= cost.promptTokens;
    this.decodingTokens += tokensOf(cost);
  }

  end(cost: Cost): void {
    this.sequences -= 1;
    this.tokens -= tokensOf(cost);
    this.decodingTokens -= tokensOf(cost);
  }
}

/** Tokens that a request holds in the engine's memory by its end. */
export function tokensOf(cost: Cost): number {
  return cost.promptTokens + cost.outputTokens;
}
