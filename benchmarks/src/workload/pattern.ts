/** Load patterns: how the arrivals and the fleet deviate from the usual. @module */

/**
 * A change of an engine. `engine` is its index, the fastest first. Times are
 * fractions of the horizon; `factor` is the factor by which steps get longer.
 */
export type EngineEvent =
  | { kind: "slow"; engine: number; from: number; to: number; factor: number }
  | { kind: "lost"; engine: number; at: number };

/**
 * One load pattern. Times are fractions of the horizon, and shares are fractions
 * of the arrivals unless stated otherwise. Load 1 is the fleet's capacity.
 */
export type Pattern = {
  name: string;
  load: number;
  /** A period in which some tiers have `factor` times as many arrivals. */
  burst?: { ranks: number[]; from: number; to: number; factor: number };
  /** Share of the first organisation; the others share the rest evenly. */
  hotOrganisationShare?: number;
  /** Share of each class's requests that begin with one hot prefix of the class. */
  hotPrefixShare?: number;
  /** Share of the work that the long class causes. */
  longWorkShare?: number;
  engineEvents?: EngineEvent[];
  /** A request that crashes its engine, retried after each error. */
  crashingRequest?: { at: number; retries: number };
};

/** All load patterns of the benchmark. */
export const patterns: readonly Pattern[] = [
  { name: "usual", load: 0.7 },
  {
    name: "lunch-burst",
    load: 0.6,
    burst: { ranks: [0, 1], from: 0.4, to: 0.6, factor: 4 },
  },
  { name: "hot-organisation", load: 1.5, hotOrganisationShare: 0.6 },
  { name: "hot-prefix", load: 0.7, hotPrefixShare: 0.5 },
  {
    name: "slow-engine",
    load: 0.6,
    engineEvents: [
      { kind: "slow", engine: 0, from: 0.4, to: 0.8, factor: 8 },
    ],
  },
  {
    name: "long-among-short",
    load: 0.8,
    longWorkShare: 0.5,
  },
  { name: "overload-1.2", load: 1.2 },
  { name: "overload-2", load: 2 },
  { name: "overload-5", load: 5 },
  {
    name: "engine-lost",
    load: 0.9,
    engineEvents: [{ kind: "lost", engine: 0, at: 0.5 }],
  },
  {
    name: "crashing-request",
    load: 0.6,
    crashingRequest: { at: 0.4, retries: 6 },
  },
];
