/** A request that an engine runs, as its limit sees it. @module */
import type { Cost } from "../queueing/waiting.ts";

/** `lastToken` is undefined until the first token. */
export type RunningSequence = {
  cost: Cost;
  long: boolean;
  started: number;
  lastToken: number | undefined;
};
