/** Counts decisions by organisation, for metrics. @module */
import type { GrantDecision, GrantRefusalReason } from "./grant_request.ts";

/** Organisations that are counted by name: those with the most decisions. */
const NAMED_ORGANISATIONS = 20;
/** Name under which all others are counted. */
const OTHER_ORGANISATIONS = "other";

/** What was decided: a grant, or a refusal for this reason. */
export type DecisionCause = "granted" | GrantRefusalReason;

/** Decisions of one kind since the start. */
export type OrganisationCount = {
  service: string;
  organisation: string;
  cause: DecisionCause;
  count: number;
};

/** Decisions on requests of each organisation since the start. */
export class OrganisationCounts {
  readonly #counts = new Map<string, OrganisationCount>();
  readonly #totals = new Map<string, number>();

  record(decision: GrantDecision): void {
    const { service, organisation } = decision.request;
    const cause = decision.kind === "grant" ? "granted" : decision.reason;
    this.#totals.set(organisation, (this.#totals.get(organisation) ?? 0) + 1);
    add(this.#counts, { service, organisation, cause, count: 1 });
  }

  /**
   * Returns the counts; those of all but the organisations with the most
   * decisions are added up.
   */
  report(): OrganisationCount[] {
    const named = new Set(
      [...this.#totals]
        .sort(([, one], [, other]) => other - one)
        .slice(0, NAMED_ORGANISATIONS)
        .map(([organisation]) => organisation),
    );
    const report = new Map<string, OrganisationCount>();
    for (const count of this.#counts.values()) {
      const isNamed = named.has(count.organisation);
      add(
        report,
        isNamed ? count : { ...count, organisation: OTHER_ORGANISATIONS },
      );
    }
    return [...report.values()];
  }
}

function add(
  counts: Map<string, OrganisationCount>,
  added: OrganisationCount,
): void {
  const { service, organisation, cause, count } = added;
  const key = `${service} ${cause} ${organisation}`;
  const known = counts.get(key);
  if (known === undefined) counts.set(key, { ...added });
  else known.count += count;
}
