/** What a set of backend servers is asked, and what it says of a tier. @module */
import type { Reach } from "./distance.ts";

/** Whether the tier is refused before anything is reserved. */
export type SheddingVerdict =
  | { sheds: false }
  | { sheds: true; retryAfter: number };

/** What {@link BackendServerSet.choose} is asked. */
export type ChoiceOptions = {
  count: number;
  exclude: ReadonlySet<string>;
  prefixKey?: string | undefined;
  /** Only servers of this version; all when absent. */
  version?: string | undefined;
  tierRank: number;
  /** Farther servers are used only where no nearer one is left. */
  reach?: Reach | undefined;
  now: number;
  /** Gives a number in [0, 1). */
  random: () => number;
};
