/** What is known of one fingerprint. @module */

/** A fingerprint's standing as entries tell it to each other. */
export type SuspectStatement = {
  fingerprint: string;
  kind: "clear" | "suspect" | "quarantined";
  /** Grows with each change anywhere; the higher one holds. */
  revision: number;
  /** Crashes that the fingerprint took part in. */
  crashes: number;
  /** Milliseconds, counted from the telling, for which the statement holds. */
  remaining: number;
};

/** A standing with its end on the own clock. */
export type Suspicion = {
  kind: SuspectStatement["kind"];
  revision: number;
  crashes: number;
  until: number;
};

const SEVERITY = { clear: 0, suspect: 1, quarantined: 2 } as const;

/** True when the statement supersedes what is held; ties go to the severer. */
export function supersedes(
  statement: SuspectStatement,
  held: Suspicion | undefined,
): boolean {
  if (held === undefined || statement.revision > held.revision) return true;
  if (statement.revision < held.revision) return false;
  return SEVERITY[statement.kind] > SEVERITY[held.kind];
}
