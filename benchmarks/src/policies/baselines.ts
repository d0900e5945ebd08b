/** The baselines by the name that the tables give them. @module */
import type { PolicyFactory } from "../run.ts";
import { BetterOfTwo } from "./better_of_two.ts";
import { LeastOutstanding } from "./least_outstanding.ts";
import { RoundRobin } from "./round_robin.ts";

/** A policy under its name. */
export type NamedPolicy = { name: string; policy: PolicyFactory };

/** See the module. */
export const baselines: readonly NamedPolicy[] = [
  { name: "round robin", policy: (options) => new RoundRobin(options) },
  {
    name: "least outstanding",
    policy: (options) => new LeastOutstanding(options),
  },
  { name: "better of two", policy: (options) => new BetterOfTwo(options) },
];
