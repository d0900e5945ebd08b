/** The project's policy, with all its decisions and as ablations. @module */
import type { NamedPolicy } from "./baselines.ts";
import { LateBinding } from "./late_binding.ts";
import {
  allDecisions,
  type LateBindingSettings,
} from "./late_binding_settings.ts";

function createVariant(
  name: string,
  change: Partial<LateBindingSettings>,
): NamedPolicy {
  const settings = { ...allDecisions, ...change };
  return {
    name,
    createPolicy: (options) => new LateBinding({ ...options, settings }),
  };
}

/** The policy with all decisions. */
export const allDecisionsPolicy: NamedPolicy = createVariant("decisions", {});

/** The policy with all decisions, followed by its ablations. */
export const ablationPolicies: readonly NamedPolicy[] = [
  allDecisionsPolicy,
  createVariant("1 reservation", { fixedReservations: 1 }),
  createVariant("2 reservations", { fixedReservations: 2 }),
  createVariant("4 reservations", { fixedReservations: 4 }),
  createVariant("6 reservations", { fixedReservations: 6 }),
  createVariant("no tiers", { tiers: false }),
  createVariant("no fair queueing", { fairQueueing: false }),
  createVariant("no prefix affinity", { prefixAffinity: false }),
  createVariant("limit of 16", { fixedLimit: 16 }),
  createVariant("limit of 48", { fixedLimit: 48 }),
  createVariant("no first-token bound", { firstTokenBound: false }),
  createVariant("mean service times", { serviceTimeMargin: false }),
  createVariant("no ejection", { ejection: false }),
];
