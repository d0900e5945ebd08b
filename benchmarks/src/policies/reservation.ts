/** Messages between simulated entries and sidecars. @module */
import type { Cost, ObservedLoad } from "@sycamorepulley/decisions";
import type { Outcome } from "../model/outcome.ts";

/** A reservation that an entry sends to a sidecar. Times are milliseconds. */
export type Reservation = {
  id: string;
  entry: number;
  tierRank: number;
  organisation: string;
  cost: Cost;
  /** Time left until the deadline. */
  remaining: number;
  /** Time left until the goal for the first token. */
  firstTokenRemaining: number;
  /** Whether the request is suspected of crashing engines. */
  suspect: boolean;
  /** Represents the request itself, which the entry hands over on a grant. */
  outcome: Outcome;
};

/** Handles a sidecar's messages at an entry. */
export abstract class SidecarMessageHandler {
  abstract handleGrant(id: string, server: number, grant: number): void;
  abstract handleRefusal(id: string, server: number, reason: string): void;
  abstract handleFirstToken(id: string, server: number): void;
  abstract handleFinished(id: string, server: number): void;
  /**
   * The engine crashed while it ran the requests with these fingerprints, which
   * may come from any entry.
   */
  abstract handleCrash(fingerprints: readonly string[], server: number): void;
  /** The request was handed over, and there will be no response. */
  abstract handleFailure(id: string, server: number, reason: string): void;
  /** The load that is sent with each other message. */
  abstract handleLoad(server: number, load: ObservedLoad): void;
}
