/** Status of a fingerprint, and its exchange between entries. @module */

/** A fingerprint's status as sent to other entries. */
export type SuspectStatement = {
  fingerprint: string;
  kind: "clear" | "suspect" | "quarantined";
  /** Increases with each change at any entry; the highest one applies. */
  revision: number;
  /**
   * Number of crashes during which a request with this fingerprint was running.
   */
  crashes: number;
  /** Crashes in which it was the only suspect at its server. */
  soleSuspectCrashes: number;
  /** Addresses of the servers that crashed last, as `host:port`. */
  servers: string[];
  /** Remaining validity in milliseconds, at the time of sending. */
  remaining: number;
};

/** A status that expires at an instant of the local clock. */
export type FingerprintStatus = {
  kind: SuspectStatement["kind"];
  revision: number;
  crashes: number;
  soleSuspectCrashes: number;
  servers: string[];
  expiresAt: number;
};

const SEVERITY = { clear: 0, suspect: 1, quarantined: 2 } as const;

/**
 * Whether the statement replaces the current status. A quarantine applies until
 * it ends, since its proof is not undone by another entry's count of crashes.
 * Otherwise the higher revision does, and of equal ones the more severe.
 */
export function supersedes(
  statement: SuspectStatement,
  current: FingerprintStatus | undefined,
): boolean {
  if (current === undefined) return true;
  const isQuarantine = statement.kind === "quarantined";
  if (isQuarantine !== (current.kind === "quarantined")) return isQuarantine;
  if (statement.revision > current.revision) return true;
  if (statement.revision < current.revision) return false;
  return SEVERITY[statement.kind] > SEVERITY[current.kind];
}
