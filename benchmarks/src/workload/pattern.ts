/** A load pattern: how the arrivals and the fleet depart from the usual. @module */

/** A change of an engine; `engine` counts from the fastest. Times are shares of the horizon. */
export type EngineEvent =
  | { kind: "slow"; engine: number; from: number; to: number; factor: number }
  | { kind: "lost"; engine: number; at: number };

/** Shares are of the horizon or of the arrivals; load 1 is the capacity. */
export type Pattern = {
  name: string;
  load: number;
  /** More of some tiers for a while. */
  burst?: { ranks: number[]; from: number; to: number; factor: number };
  /** One organisation's share of all arrivals; the others split the rest evenly. */
  hotOrganisation?: number;
  /** Share of each class's requests that begin with its one hot prefix. */
  hotPrefix?: number;
  /** The long class's share of the work. */
  longWork?: number;
  engineEvents?: EngineEvent[];
  /** One request that crashes its engine, sent again at each error. */
  crashingRequest?: { at: number; resends: number };
};

/** Every pattern of the bench, by name. */
export const patterns: readonly Pattern[] = [
  { name: "usual", load: 0.7 },
  {
    name: "lunch-burst",
    load: 0.6,
    burst: { ranks: [0, 1], from: 0.4, to: 0.6, factor: 4 },
  },
  { name: "hot-organisation", load: 1.5, hotOrganisation: 0.6 },
  { name: "hot-prefix", load: 0.7, hotPrefix: 0.5 },
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
    longWork: 0.5,
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
    crashingRequest: { at: 0.4, resends: 6 },
  },
];
