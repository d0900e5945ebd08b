/** Baseline in which each entry sends to the engines in turn. @module */
import type { Outcome } from "../model/outcome.ts";
import { PushPolicy } from "./push_policy.ts";

/** Sends to the engines in turn, regardless of their speed and load. */
export class RoundRobin extends PushPolicy {
  readonly #sent = new Map<number, number>();

  protected override choose(candidates: number[], outcome: Outcome): number {
    const { entry } = outcome.request;
    const sent = this.#sent.get(entry) ?? entry;
    this.#sent.set(entry, sent + 1);
    return candidates[sent % candidates.length]!;
  }
}
