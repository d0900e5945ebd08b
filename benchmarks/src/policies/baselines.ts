/** The baselines, under the names that the tables show. @module */
import type { PolicyFactory } from "../run.ts";
import { BetterOfTwo } from "./better_of_two.ts";
import { LeastOutstanding } from "./least_outstanding.ts";
import { RoundRobin } from "./round_robin.ts";

/** A policy and its name in the tables. */
export type NamedPolicy = { name: string; createPolicy: PolicyFactory };

/** All baselines. */
export const baselines: readonly NamedPolicy[] = [
  { name: "round robin", createPolicy: (options) => new RoundRobin(options) },
  {
    name: "least outstanding",
    createPolicy: (options) => new LeastOutstanding(options),
  },
  {
    name: "better of two",
    createPolicy: (options) => new BetterOfTwo(options),
  },
];
