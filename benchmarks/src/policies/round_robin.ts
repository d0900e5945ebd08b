/** Each entry sends to the engines in turn, whatever their speed. @module */
import type { Outcome } from "../model/outcome.ts";
import { Push } from "./push.ts";

/** See the module. */
export class RoundRobin extends Push {
  readonly #sent = new Map<number, number>();

  protected override choose(candidates: number[], outcome: Outcome): number {
    const { entry } = outcome.request;
    const sent = this.#sent.get(entry) ?? entry;
    this.#sent.set(entry, sent + 1);
    return candidates[sent % candidates.length]!;
  }
}
