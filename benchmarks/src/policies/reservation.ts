/** What an entry and a sidecar tell one another in the bench. @module */
import type { Cost, ObservedLoad } from "@sycamorepulley/decisions";
import type { Outcome } from "../model/outcome.ts";

/** A request for a place in a sidecar's queue; durations are milliseconds. */
export type Reservation = {
  id: string;
  entry: number;
  tierRank: number;
  organisation: string;
  cost: Cost;
  remaining: number;
  /** Time left for the first token to come within its goal. */
  firstTokenRemaining: number;
  suspect: boolean;
  /** Stands for the body that the entry hands over. */
  outcome: Outcome;
};

/** The sidecar's messages to an entry. */
export abstract class SidecarPeer {
  abstract granted(id: string, server: number, grant: number): void;
  abstract refused(id: string, server: number, reason: string): void;
  abstract firstToken(id: string, server: number): void;
  abstract finished(id: string, server: number): void;
  /** The engine died while it ran these; the entry's own are among them. */
  abstract crashed(fingerprints: readonly string[], server: number): void;
  /** The request was handed over and will not be answered. */
  abstract failed(id: string, server: number, reason: string): void;
  /** Rides beside each of the others. */
  abstract observeLoad(server: number, load: ObservedLoad): void;
}
