/** A request at its entry, from its arrival to its end. @module */
import type { Cost, ReservationPlan } from "@sycamorepulley/decisions";
import type { Outcome } from "../model/outcome.ts";
import type { FixedPlan } from "./fixed_plan.ts";

/** Held by one entry. */
export type Pending = {
  id: string;
  outcome: Outcome;
  cost: Cost;
  plan: ReservationPlan | FixedPlan;
  suspect: boolean;
  /** Sidecars that hold a reservation. */
  holders: Set<string>;
  /** Sidecars that hold one or have refused. */
  asked: Set<string>;
  /** The sidecar that the request was handed to. */
  server: number | undefined;
  handedOverAt: number;
  firstTokenAfter: number | undefined;
  lastReason: string;
};
