/** Changes the counts of crashes that fingerprints are suspected for. @module */
import { FingerprintStatuses } from "./fingerprint_statuses.ts";
import {
  FIRST_PART_QUARANTINE_DURATION,
  QUARANTINE_DURATION,
  quarantineKey,
  SUSPICION_DURATION,
} from "./fingerprint_status.ts";
import type { FingerprintStatus } from "./fingerprint_status.ts";
import { isPromptPart } from "./prompt_part.ts";
import type { ClearedCrash } from "./recent_crashes.ts";

/** Maximum number of addresses that are kept for a fingerprint. */
const MAXIMUM_SERVERS = 4;

/** Statuses of fingerprints, changed by crashes and by what explains them. */
export class CrashCounts extends FingerprintStatuses {
  /** `wasSoleSuspect`: no other suspect ran at the server. */
  addCrash(
    fingerprint: string,
    server: string,
    wasSoleSuspect: boolean,
    now: number,
  ): void {
    const status = this.get(fingerprint, now);
    const isCounting = status !== undefined && status.crashes > 0;
    const soleSuspectCrashes = status?.soleSuspectCrashes ?? 0;
    this.set(fingerprint, {
      kind: "suspect",
      revision: (status?.revision ?? 0) + 1,
      crashes: (status?.crashes ?? 0) + 1,
      soleSuspectCrashes: soleSuspectCrashes + (wasSoleSuspect ? 1 : 0),
      quarantines: status?.quarantines ?? 0,
      servers: withServer(status?.servers ?? [], server),
      firstCrashAt: isCounting ? status.firstCrashAt : now,
      lastCrashAt: now,
      expiresAt: now + SUSPICION_DURATION,
    });
  }

  /**
   * Counts a crash under a request that was granted before its quarantine. If
   * only the whole request is quarantined, its parts remain possible causes.
   */
  addQuarantinedCrash(
    fingerprints: readonly string[],
    server: string,
    now: number,
  ): void {
    const keys = this.quarantinesOf(fingerprints, now);
    for (const key of keys) {
      const status = this.get(key, now)!;
      this.set(key, {
        ...status,
        revision: status.revision + 1,
        crashes: status.crashes + 1,
        servers: withServer(status.servers, server),
        lastCrashAt: now,
      });
    }
    const [request, ...parts] = fingerprints;
    if (keys.some((key) => key !== request)) return;
    for (const part of parts) this.addCrash(part, server, false, now);
  }

  /**
   * Uncounts a crash whose cause was found. A request without other crashes
   * remains a suspect until its next complete run, so that not all its copies
   * that wait are sent at the same moment: it may be a second cause.
   */
  removeCrash({ fingerprint, at }: ClearedCrash, now: number): void {
    const status = this.get(fingerprint, now);
    if (status?.kind !== "suspect" || status.firstCrashAt > at) return;
    if (status.crashes <= 1 && isPromptPart(fingerprint)) {
      this.clear(fingerprint, now);
      return;
    }
    const { revision, crashes } = status;
    this.set(fingerprint, {
      ...status,
      revision: revision + 1,
      crashes: Math.max(0, crashes - 1),
    });
  }

  /** Ends the suspicion of a fingerprint; a quarantine remains. */
  clear(fingerprint: string, now: number): void {
    const status = this.get(fingerprint, now);
    if (status?.kind !== "suspect") return;
    this.set(fingerprint, {
      kind: "clear",
      revision: status.revision + 1,
      crashes: 0,
      soleSuspectCrashes: 0,
      quarantines: 0,
      servers: [],
      firstCrashAt: now,
      lastCrashAt: now,
      expiresAt: now + SUSPICION_DURATION,
    });
  }

  /** Quarantines requests that have all these fingerprints. */
  quarantine(fingerprints: readonly string[], now: number): void {
    const key = quarantineKey(fingerprints);
    const statuses = fingerprints
      .map((fingerprint) => this.get(fingerprint, now)!);
    const previous = this.get(key, now);
    const quarantines = 1 + (previous?.quarantines ?? 0);
    const isFirstOfPart = quarantines === 1 && isPromptPart(fingerprints[0]!);
    const duration = isFirstOfPart
      ? FIRST_PART_QUARANTINE_DURATION
      : QUARANTINE_DURATION;
    this.#extendSuspicion(
      fingerprints,
      statuses,
      now + duration + SUSPICION_DURATION,
    );
    this.set(key, {
      ...statuses[0]!,
      kind: "quarantined",
      revision: (previous?.revision ?? 0) + 1,
      quarantines,
      expiresAt: now + duration,
    });
  }

  /** Each part remains a suspect when the quarantine has ended. */
  #extendSuspicion(
    fingerprints: readonly string[],
    statuses: readonly FingerprintStatus[],
    expiresAt: number,
  ): void {
    for (const [index, fingerprint] of fingerprints.entries()) {
      this.set(fingerprint, { ...statuses[index]!, expiresAt });
    }
  }
}

/** The servers that crashed last, the latest one first. */
function withServer(servers: readonly string[], server: string): string[] {
  const others = servers.filter((other) => other !== server);
  return [server, ...others].slice(0, MAXIMUM_SERVERS);
}
