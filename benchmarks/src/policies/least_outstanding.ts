/**
 * Baseline that sends to the engine with the fewest outstanding requests in the
 * last reports; ties are broken at random.
 * @module
 */
import { PushPolicy } from "./push_policy.ts";

/** Sends each request to the engine that reported the fewest requests. */
export class LeastOutstanding extends PushPolicy {
  protected override choose(candidates: number[]): number {
    const { fleet } = this;
    const loads = candidates.map((index) => fleet.report(index).outstanding);
    const lowest = Math.min(...loads);
    const best = candidates.filter((_, order) => loads[order] === lowest);
    return best[fleet.random.index(best.length)]!;
  }
}
