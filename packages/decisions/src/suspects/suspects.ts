/**
 * Detects requests that crash backend servers ("queries of death"). One
 * instance for each service.
 *
 * Such a request kills each server that runs it and is sent again by its
 * caller, so it could take down the whole service, one server after the other.
 * All requests that were running on a server when it crashed become suspects. A
 * suspect runs alone on its server, and only one suspect runs at a time, so a
 * further crash affects one server and identifies its cause: the second crash
 * quarantines a suspect that was running alone. A crash with other requests
 * running never does, since a harmless request that is sent often may have been
 * running during both. A successful run clears a suspect.
 *
 * A suspicion lasts 10 minutes, longer than callers continue to retry. A
 * quarantine lasts as long; afterwards the fingerprint is a suspect again and
 * may crash one more server. 4096 fingerprints of about 150 bytes are kept,
 * half a megabyte; a crash adds at most one batch of a server, about 64.
 * @module
 */
import { supersedes } from "./fingerprint_status.ts";
import type {
  FingerprintStatus,
  SuspectStatement,
} from "./fingerprint_status.ts";

/**
 * How a request with the fingerprint has to be handled; `retryAfter` in
 * milliseconds.
 */
export type SuspectVerdict =
  | { kind: "clear" }
  | { kind: "suspect" }
  | { kind: "quarantined"; retryAfter: number };

/** Milliseconds for which a fingerprint remains a suspect. */
const SUSPICION_DURATION = 600_000;
/** Milliseconds for which a fingerprint remains quarantined. */
const QUARANTINE_DURATION = 600_000;
/**
 * Milliseconds after which a run whose end was not reported no longer blocks
 * other suspects.
 */
const RUN_TIMEOUT = 300_000;
/**
 * Milliseconds within which reports of the same crash from several links are
 * treated as one.
 */
const DUPLICATE_CRASH_WINDOW = 10_000;
const MAXIMUM_FINGERPRINTS = 4096;
/** Maximum number of servers of which the last crash is remembered. */
const MAXIMUM_CRASHES = 256;

type Crash = { at: number; fingerprints: ReadonlySet<string> };

type Run = { fingerprint: string; backendServer: string; expiresAt: number };

/** Suspects, quarantined fingerprints and the one suspect that is running. */
export class CrashSuspects {
  /** Ordered by the last change, oldest first. */
  readonly #statuses = new Map<string, FingerprintStatus>();
  /** Last crash of each server, oldest first. */
  readonly #crashes = new Map<string, Crash>();
  #run: Run | undefined;

  /** Returns how to handle a request with this fingerprint now. */
  verdict(fingerprint: string, now: number): SuspectVerdict {
    const status = this.#currentStatus(fingerprint, now);
    if (status === undefined || status.kind === "clear") {
      return { kind: "clear" };
    }
    if (status.kind === "suspect") return { kind: "suspect" };
    return { kind: "quarantined", retryAfter: status.expiresAt - now };
  }

  /** Whether no other suspect is running. */
  mayStartRun(now: number): boolean {
    return this.#run === undefined || now >= this.#run.expiresAt;
  }

  /** Reserves the run of a suspect; false if another one is running. */
  tryStartRun(
    fingerprint: string,
    backendServer: string,
    now: number,
  ): boolean {
    if (!this.mayStartRun(now)) return false;
    this.#run = { fingerprint, backendServer, expiresAt: now + RUN_TIMEOUT };
    this.#crashes.delete(backendServer);
    return true;
  }

  /** Ends a run without a result: it was cancelled or never started. */
  cancelRun(fingerprint: string): void {
    if (this.#run?.fingerprint === fingerprint) this.#run = undefined;
  }

  /** Records a successful run, which clears the fingerprint. */
  recordCleanRun(fingerprint: string, now: number): void {
    this.cancelRun(fingerprint);
    const status = this.#currentStatus(fingerprint, now);
    if (status?.kind !== "suspect") return;
    this.#store(fingerprint, {
      kind: "clear",
      revision: status.revision + 1,
      crashes: 0,
      expiresAt: now + SUSPICION_DURATION,
    });
  }

  /**
   * Records that a server crashed while it ran these requests. Reports of the
   * same crash over several links count once.
   */
  recordCrash(
    fingerprints: readonly string[],
    backendServer: string,
    now: number,
  ): void {
    if (this.#run?.backendServer === backendServer) this.#run = undefined;
    const running = new Set(fingerprints);
    if (this.#isDuplicate(running, backendServer, now)) return;
    this.#crashes.delete(backendServer);
    this.#crashes.set(backendServer, { at: now, fingerprints: running });
    evictOldest(this.#crashes, MAXIMUM_CRASHES);
    for (const fingerprint of running) {
      this.#addCrash(fingerprint, running.size === 1, now);
    }
  }

  /** Returns the statuses that are valid now, to be sent to peers. */
  statements(now: number): SuspectStatement[] {
    const statements: SuspectStatement[] = [];
    for (const [fingerprint, status] of this.#statuses) {
      const { kind, revision, crashes, expiresAt } = status;
      const remaining = expiresAt - now;
      if (remaining <= 0) continue;
      statements.push({ fingerprint, kind, revision, crashes, remaining });
    }
    return statements;
  }

  /**
   * Merges a peer's statements; the result does not depend on order or
   * repetition.
   */
  merge(statements: readonly SuspectStatement[], now: number): void {
    for (const statement of statements) {
      const { fingerprint, kind, revision, crashes, remaining } = statement;
      const status = this.#currentStatus(fingerprint, now);
      if (!supersedes(statement, status)) continue;
      const expiresAt = now + remaining;
      this.#store(fingerprint, { kind, revision, crashes, expiresAt });
    }
  }

  /**
   * Whether this crash, identified by its server and the requests, was reported
   * before.
   */
  #isDuplicate(
    running: ReadonlySet<string>,
    backendServer: string,
    now: number,
  ): boolean {
    const last = this.#crashes.get(backendServer);
    if (last === undefined || now - last.at >= DUPLICATE_CRASH_WINDOW) {
      return false;
    }
    if (last.fingerprints.size !== running.size) return false;
    return [...running].every((fingerprint) =>
      last.fingerprints.has(fingerprint)
    );
  }

  #addCrash(fingerprint: string, alone: boolean, now: number): void {
    const status = this.#currentStatus(fingerprint, now);
    const crashes = (status?.crashes ?? 0) + 1;
    const quarantined = alone && crashes >= 2;
    this.#store(fingerprint, {
      kind: quarantined ? "quarantined" : "suspect",
      revision: (status?.revision ?? 0) + 1,
      crashes,
      expiresAt: now + (quarantined ? QUARANTINE_DURATION : SUSPICION_DURATION),
    });
  }

  /**
   * Returns the status at `now`; a quarantine that has ended becomes a
   * suspicion.
   */
  #currentStatus(
    fingerprint: string,
    now: number,
  ): FingerprintStatus | undefined {
    const status = this.#statuses.get(fingerprint);
    if (status === undefined || now < status.expiresAt) return status;
    if (
      status.kind !== "quarantined" ||
      now >= status.expiresAt + SUSPICION_DURATION
    ) {
      this.#statuses.delete(fingerprint);
      return undefined;
    }
    const renewed: FingerprintStatus = {
      kind: "suspect",
      revision: status.revision + 1,
      crashes: status.crashes,
      expiresAt: status.expiresAt + SUSPICION_DURATION,
    };
    this.#store(fingerprint, renewed);
    return renewed;
  }

  #store(fingerprint: string, status: FingerprintStatus): void {
    this.#statuses.delete(fingerprint);
    this.#statuses.set(fingerprint, status);
    evictOldest(this.#statuses, MAXIMUM_FINGERPRINTS);
  }
}

function evictOldest<Value>(map: Map<string, Value>, capacity: number): void {
  if (map.size <= capacity) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
