/** Status of a fingerprint, and its exchange between entries. @module */

/** A fingerprint's status as sent to other entries. */
export type SuspectStatement = {
  /** A quarantine may name several: see {@link quarantineKey}. */
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
  /** How often it has been quarantined. */
  quarantines: number;
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
  quarantines: number;
  servers: string[];
  /** Times of the first and the last crash that count. */
  firstCrashAt: number;
  lastCrashAt: number;
  expiresAt: number;
};

/** Milliseconds for which a fingerprint remains a suspect. */
export const SUSPICION_DURATION = 600_000;
/** Milliseconds for which a fingerprint remains quarantined. */
export const QUARANTINE_DURATION = 600_000;
/**
 * The same for the first quarantine of prompt parts. One request with them is
 * run afterwards, so that parts that ran beside the cause by chance are cleared.
 */
export const FIRST_PART_QUARANTINE_DURATION = 1500;

/** Separates the fingerprints in the key of a quarantine. */
const KEY_SEPARATOR = "&";

/**
 * Key of a quarantine of requests that have all these fingerprints, one or
 * several parts of their prompts that have never run apart.
 */
export function quarantineKey(fingerprints: readonly string[]): string {
  return [...fingerprints].sort().join(KEY_SEPARATOR);
}

export function fingerprintsOfKey(key: string): string[] {
  return key.split(KEY_SEPARATOR);
}

const SEVERITY = { clear: 0, suspect: 1, quarantined: 2 } as const;

/**
 * Whether the statement replaces the current status. A quarantine applies until
 * it ends, since its proof is not undone by another entry's count of crashes.
 * Otherwise the higher revision does, and of equal ones the more severe.
 */
export function supersedes(
  statement: SuspectStatement,
  current: Pick<FingerprintStatus, "kind" | "revision"> | undefined,
): boolean {
  if (current === undefined) return true;
  const isQuarantine = statement.kind === "quarantined";
  if (isQuarantine !== (current.kind === "quarantined")) return isQuarantine;
  if (statement.revision > current.revision) return true;
  if (statement.revision < current.revision) return false;
  return SEVERITY[statement.kind] > SEVERITY[current.kind];
}
