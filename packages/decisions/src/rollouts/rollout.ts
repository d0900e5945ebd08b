/**
 * Roll-outs: orders to move the traffic of a service to servers of another
 * version, and what is known of them.
 * @module
 */
import type { StorePosition } from "../discovery/mod.ts";
import type { RouteEvidence } from "../moves/mod.ts";

/** An order to move a service to the version `target`. */
export type RolloutOrder = {
  service: string;
  target: string;
  /** Milliseconds from the order to its time limit. */
  duration: number;
  /** Where the store wrote the order; a later one replaces it. */
  position: StorePosition;
};

/** The last two are final for an order. */
export type RolloutOutcome = "running" | "succeeded" | "rolled_back";

/** What an entry knows of one service's roll-out. */
export type RolloutState = {
  order: RolloutOrder;
  /** Time, of this entry's clock, at which it first saw the order. */
  orderedAt: number;
  outcome: RolloutOutcome;
};

/** What the granting entry concludes of one service's roll-out. */
export type RolloutReport = {
  service: string;
  target: string;
  outcome: RolloutOutcome;
  /** Why it advanced, waits or ended, for people. */
  reason: string;
  /** Share, 0 to 1, of the service's requests that the target may get. */
  share: number;
  evidence: RouteEvidence[];
};

/** Bounds of what a version that may be bad gets. */
export type RolloutBounds = {
  /**
   * Share of a service's requests between an order and its time limit.
   */
  exposedShare: number;
  /** Requests in addition to the share, of the whole fleet. */
  exposedSlack: number;
};
