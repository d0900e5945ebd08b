/**
 * Baseline "power of two choices": draws two engines at random and sends to the
 * one with fewer outstanding requests. These are the requests in the engine's
 * last report and those that the entry has sent to it since.
 * @module
 */
import type { Outcome } from "../model/outcome.ts";
import { PushPolicy } from "./push_policy.ts";

/** Sends each request to the better of two random engines. */
export class BetterOfTwo extends PushPolicy {
  /**
   * Times at which an entry sent requests that the engine's last report does not
   * include, by entry and engine.
   */
  readonly #sentAt = new Map<string, number[]>();

  protected override choose(candidates: number[], outcome: Outcome): number {
    const { random, loop } = this.fleet;
    const { entry } = outcome.request;
    const first = candidates[random.index(candidates.length)]!;
    const second = candidates[random.index(candidates.length)]!;
    const better =
      this.#outstanding(entry, first) <= this.#outstanding(entry, second)
        ? first
        : second;
    this.#recentSends(entry, better).push(loop.now);
    return better;
  }

  #outstanding(entry: number, engine: number): number {
    const { outstanding } = this.fleet.report(engine);
    return outstanding + this.#recentSends(entry, engine).length;
  }

  #recentSends(entry: number, engine: number): number[] {
    const key = `${entry}/${engine}`;
    const known = this.#sentAt.get(key) ?? [];
    const { takenAt } = this.fleet.report(engine);
    const recent = known.filter((time) => time > takenAt);
    this.#sentAt.set(key, recent);
    return recent;
  }
}
