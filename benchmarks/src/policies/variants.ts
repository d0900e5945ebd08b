/** The project's decisions, whole and with one of them taken away. @module */
import type { NamedPolicy } from "./baselines.ts";
import { LateBinding } from "./late_binding.ts";
import {
  allDecisions,
  type LateBindingSettings,
} from "./late_binding_settings.ts";

function variant(
  name: string,
  change: Partial<LateBindingSettings>,
): NamedPolicy {
  const settings = { ...allDecisions, ...change };
  return {
    name,
    policy: (options) => new LateBinding({ ...options, settings }),
  };
}

/** The whole set. */
export const decisions: NamedPolicy = variant("decisions", {});

/** The whole set first, then the ablations. */
export const variants: readonly NamedPolicy[] = [
  decisions,
  variant("1 reservation", { reservations: 1 }),
  variant("2 reservations", { reservations: 2 }),
  variant("4 reservations", { reservations: 4 }),
  variant("6 reservations", { reservations: 6 }),
  variant("no tiers", { tiers: false }),
  variant("no fair queueing", { fairQueueing: false }),
  variant("no prefix affinity", { prefixAffinity: false }),
  variant("limit of 16", { fixedLimit: 16 }),
  variant("limit of 48", { fixedLimit: 48 }),
  variant("no first-token bound", { firstTokenBound: false }),
  variant("mean service times", { serviceTimeMargin: false }),
  variant("no ejection", { ejection: false }),
];
