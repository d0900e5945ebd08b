/** The engine that last reported the fewest requests; ties at random. @module */
import { Push } from "./push.ts";

/** See the module. */
export class LeastOutstanding extends Push {
  protected override choose(candidates: number[]): number {
    const { fleet } = this;
    const loads = candidates.map((index) => fleet.report(index).outstanding);
    const least = Math.min(...loads);
    const best = candidates.filter((_, order) => loads[order] === least);
    return best[fleet.random.index(best.length)]!;
  }
}
