/** Statuses of fingerprints and their expiry, eviction and exchange. @module */
import {
  fingerprintsOfKey,
  supersedes,
  SUSPICION_DURATION,
} from "./fingerprint_status.ts";
import type {
  FingerprintStatus,
  SuspectStatement,
} from "./fingerprint_status.ts";
import { includesAll } from "./recent_crashes.ts";

const MAXIMUM_FINGERPRINTS = 4096;

/**
 * Statuses by fingerprint, or by the key of a quarantine that names several.
 */
export class FingerprintStatuses {
  /** Ordered by the last change, oldest first. */
  readonly #statuses = new Map<string, FingerprintStatus>();
  /** Fingerprints whose status has changed since it was last taken. */
  readonly #changed = new Set<string>();
  /** Keys of the quarantines that name several fingerprints. */
  readonly #sets = new Set<string>();

  get isEmpty(): boolean {
    return this.#statuses.size === 0;
  }

  /**
   * Returns the status at `now`; a quarantine that has ended becomes a
   * suspicion.
   */
  get(
    fingerprint: string,
    now: number,
  ): FingerprintStatus | undefined {
    const status = this.#statuses.get(fingerprint);
    if (status === undefined || now < status.expiresAt) return status;
    if (
      status.kind !== "quarantined" ||
      now >= status.expiresAt + SUSPICION_DURATION
    ) {
      this.#forget(fingerprint);
      return undefined;
    }
    const renewed: FingerprintStatus = {
      ...status,
      kind: "suspect",
      revision: status.revision + 1,
      expiresAt: status.expiresAt + SUSPICION_DURATION,
    };
    this.set(fingerprint, renewed);
    return renewed;
  }

  /** Replaces a status, which counts as a change. */
  set(fingerprint: string, status: FingerprintStatus): void {
    this.#statuses.delete(fingerprint);
    this.#statuses.set(fingerprint, status);
    this.#changed.add(fingerprint);
    if (isSet(fingerprint)) this.#sets.add(fingerprint);
    if (this.#statuses.size > MAXIMUM_FINGERPRINTS) this.#evict();
  }

  /** Keys of the quarantines that apply to a request, the longest first. */
  quarantinesOf(fingerprints: readonly string[], now: number): string[] {
    const sets = [...this.#sets]
      .filter((key) => includesAll(fingerprints, fingerprintsOfKey(key)));
    return [...fingerprints, ...sets]
      .filter((key) => this.get(key, now)?.kind === "quarantined")
      .sort((one, other) =>
        this.#statuses.get(other)!.expiresAt -
        this.#statuses.get(one)!.expiresAt
      );
  }

  /** Returns the statuses that are valid now, to be sent to peers. */
  statements(now: number): SuspectStatement[] {
    return this.#statementsOf(this.#statuses.keys(), now);
  }

  /** Returns the statuses that have changed since the last call. */
  takeChanges(now: number): SuspectStatement[] {
    const changes = this.#statementsOf(this.#changed, now);
    this.#changed.clear();
    return changes;
  }

  /**
   * Merges a peer's statements; the result does not depend on order or
   * repetition.
   */
  merge(statements: readonly SuspectStatement[], now: number): void {
    for (const statement of statements) {
      const { fingerprint, remaining, ...stated } = statement;
      const status = this.get(fingerprint, now);
      if (!supersedes(statement, status)) continue;
      this.set(fingerprint, {
        ...stated,
        firstCrashAt: now,
        lastCrashAt: now,
        expiresAt: now + remaining,
      });
    }
  }

  #statementsOf(
    fingerprints: Iterable<string>,
    now: number,
  ): SuspectStatement[] {
    const statements: SuspectStatement[] = [];
    for (const fingerprint of fingerprints) {
      const status = this.#statuses.get(fingerprint);
      if (status === undefined || status.expiresAt <= now) continue;
      const { kind, revision, crashes, soleSuspectCrashes } = status;
      const { quarantines, servers } = status;
      statements.push({
        fingerprint,
        kind,
        revision,
        crashes,
        soleSuspectCrashes,
        quarantines,
        servers,
        remaining: status.expiresAt - now,
      });
    }
    return statements;
  }

  /** Evicts the status that changed longest ago, quarantines last. */
  #evict(): void {
    for (const [fingerprint, { kind }] of this.#statuses) {
      if (kind !== "quarantined") return this.#forget(fingerprint);
    }
    const [oldest] = this.#statuses.keys();
    if (oldest !== undefined) this.#forget(oldest);
  }

  #forget(fingerprint: string): void {
    this.#statuses.delete(fingerprint);
    this.#changed.delete(fingerprint);
    this.#sets.delete(fingerprint);
  }
}

/** Whether the key names several fingerprints. */
function isSet(key: string): boolean {
  return fingerprintsOfKey(key).length > 1;
}
