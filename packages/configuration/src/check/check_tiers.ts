/** Checks tiers: unique ranks and consistent durations. @module */
import type { ConfigurationObjects } from "../objects.ts";
import type { Findings } from "./findings.ts";

/** With equal ranks it would be ambiguous which of two tiers is shed first. */
export function checkTiers(
  objects: ConfigurationObjects,
  findings: Findings,
): void {
  findings.addDuplicates({
    entries: objects.tiers.map((tier, index) => ({
      path: ["tiers", index, "rank"],
      key: String(tier.rank),
      holder: `tiers/${tier.name}`,
    })),
    what: "the rank",
    mend: "give each tier a rank of its own, 0 for the most urgent",
  });
  objects.tiers.forEach((tier, index) => {
    if ((tier.firstTokenGoal ?? 0) > tier.defaultDeadline) {
      findings.add({
        path: ["tiers", index, "firstTokenGoal"],
        detail: "the goal is longer than the default deadline",
        mend: "lower firstTokenGoal or raise defaultDeadline (milliseconds)",
      });
    }
  });
}
