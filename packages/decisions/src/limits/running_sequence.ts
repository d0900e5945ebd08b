/** A request that an engine runs, as its limit sees it. @module */
import type { Cost } from "../queueing/waiting_reservation.ts";

/** `lastToken` is undefined until the first token. */
export type RunningSequence = {
  cost: Cost;
  /** Which budget it holds, as decided when it started. */
  long: boolean;
  lastToken: number | undefined;
};
