/**
 * Of two engines drawn at random the one with fewer requests: those in its
 * last report and those that this entry has sent since.
 * @module
 */
import type { Outcome } from "../model/outcome.ts";
import { Push } from "./push.ts";

/** See the module. */
export class BetterOfTwo extends Push {
  /** Times of the sendings that the engine's report can't know yet. */
  readonly #sentAt = new Map<string, number[]>();

  protected override choose(candidates: number[], outcome: Outcome): number {
    const { random, loop } = this.fleet;
    const { entry } = outcome.request;
    const first = candidates[random.index(candidates.length)]!;
    const second = candidates[random.index(candidates.length)]!;
    const better = this.#load(entry, first) <= this.#load(entry, second)
      ? first
      : second;
    this.#recent(entry, better).push(loop.now);
    return better;
  }

  #load(entry: number, engine: number): number {
    const { outstanding } = this.fleet.report(engine);
    return outstanding + this.#recent(entry, engine).length;
  }

  #recent(entry: number, engine: number): number[] {
    const key = `${entry}/${engine}`;
    const known = this.#sentAt.get(key) ?? [];
    const { takenAt } = this.fleet.report(engine);
    const recent = known.filter((time) => time > takenAt);
    this.#sentAt.set(key, recent);
    return recent;
  }
}
