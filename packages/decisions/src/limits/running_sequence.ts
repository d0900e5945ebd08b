/**
 * A running request of a model engine, as tracked by the engine's limit.
 * @module
 */
import type { Cost } from "../queueing/waiting_reservation.ts";

/**
 * `lastTokenAt` is the instant of the last token in milliseconds, or
 * `undefined` before the first one.
 */
export type RunningSequence = {
  cost: Cost;
  /** Whether it counts as long work; decided when it started. */
  long: boolean;
  lastTokenAt: number | undefined;
};
