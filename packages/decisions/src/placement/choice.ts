/** Options and results of {@link BackendServerSet}. @module */
import type { Reach } from "./distance.ts";

/**
 * Whether a tier is shed before any reservation is sent; `retryAfter` is in
 * milliseconds.
 */
export type SheddingDecision =
  | { sheds: false }
  | { sheds: true; retryAfter: number };

/** Options of {@link BackendServerSet.choose}. */
export type ChoiceOptions = {
  count: number;
  exclude: ReadonlySet<string>;
  prefixKey?: string | undefined;
  /** Restricts the choice to servers of this version. */
  version?: string | undefined;
  tierRank: number;
  /** Servers at a greater distance are used only if no nearer one is left. */
  reach?: Reach | undefined;
  now: number;
  /** Returns a number in [0, 1). */
  random: () => number;
};
