/** Exposes the decisions on the requests of each organisation. @module */
import type { OrganisationCount } from "@sycamorepulley/decisions";
import type { GatewayMetrics } from "./metrics.ts";

/**
 * Sets the counter to the counts of the granting entry. The series `other`
 * restarts at a lower number when one of its organisations is counted by name.
 */
export function updateOrganisationDecisions(
  { organisationDecisions }: Pick<GatewayMetrics, "organisationDecisions">,
  counts: readonly OrganisationCount[],
): void {
  organisationDecisions.reset();
  for (const { service, organisation, cause, count } of counts) {
    organisationDecisions.inc({ service, organisation, cause }, count);
  }
}
