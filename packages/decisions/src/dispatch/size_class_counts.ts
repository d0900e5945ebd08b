/** Counts requests and grants by size class, for logs. @module */
import type { RequestClass, SizeClass } from "./size_fairness.ts";

/** Requests that arrived and grants, by size class. */
export type SizeClassCounts = Record<
  SizeClass,
  { requests: number; grants: number }
>;

/** Counts by priority class (tier and route) since they were last taken. */
export class SizeClassCounter {
  #counts = new Map<string, SizeClassCounts>();

  countRequest({ priorityClass, sizeClass }: RequestClass): void {
    this.#countsOf(priorityClass)[sizeClass].requests++;
  }

  countGrant({ priorityClass, sizeClass }: RequestClass): void {
    this.#countsOf(priorityClass)[sizeClass].grants++;
  }

  /** Returns the counts and starts again from zero. */
  take(): ReadonlyMap<string, SizeClassCounts> {
    const counts = this.#counts;
    this.#counts = new Map();
    return counts;
  }

  #countsOf(priorityClass: string): SizeClassCounts {
    const known = this.#counts.get(priorityClass);
    if (known !== undefined) return known;
    const counts = {
      largest: { requests: 0, grants: 0 },
      large: { requests: 0, grants: 0 },
      usual: { requests: 0, grants: 0 },
    };
    this.#counts.set(priorityClass, counts);
    return counts;
  }
}
