/** State of a request at its entry, from its arrival to its end. @module */
import type { Cost, ReservationPlan } from "@sycamorepulley/decisions";
import type { Outcome } from "../model/outcome.ts";
import type { FixedPlan } from "./fixed_plan.ts";

/** A request that has neither finished nor been refused; kept by one entry. */
export type PendingRequest = {
  id: string;
  outcome: Outcome;
  cost: Cost;
  plan: ReservationPlan | FixedPlan;
  suspect: boolean;
  /** Engines whose sidecars hold a reservation, by name. */
  holders: Set<string>;
  /** Engines whose sidecars were sent a reservation, by name. */
  tried: Set<string>;
  /** Index of the sidecar that the request was handed over to. */
  server: number | undefined;
  handedOverAt: number;
  /** Milliseconds from the handover to the first token. */
  timeToFirstToken: number | undefined;
  lastRefusalReason: string;
};
