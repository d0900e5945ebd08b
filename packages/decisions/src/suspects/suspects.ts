/**
 * Detects requests that crash backend servers ("queries of death").
 *
 * Such a request kills each server that runs it and is sent again by its
 * caller, so it could take down the whole service, one server after the other.
 * All requests that were running on a server when it crashed become suspects,
 * and a {@link QuarantineRule} decides when further crashes prove the cause. A
 * successful run clears a suspect, so a harmless request that is sent often is
 * not quarantined for having run during crashes.
 *
 * Sidecars run a suspect alone on its server, and only one suspect at a time. A
 * granting entry runs suspects beside other requests; one that two servers have
 * crashed under runs where no other suspect does.
 *
 * A suspicion lasts 10 minutes, longer than callers continue to retry. A
 * quarantine lasts as long; afterwards the fingerprint is a suspect again and
 * may crash one more server. 4096 fingerprints of about 150 bytes are kept,
 * half a megabyte; a crash adds at most one batch of a server, about 64.
 * @module
 */
import { IsolatedRunRule } from "./quarantine_rule.ts";
import type { QuarantineRule } from "./quarantine_rule.ts";
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
  /** `servers`: addresses of the servers that crashed last while it ran. */
  | { kind: "suspect"; crashes: number; servers: readonly string[] }
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
/** Maximum number of addresses that are kept for a fingerprint. */
const MAXIMUM_SERVERS = 4;
/** Maximum number of servers of which the last crash is remembered. */
const MAXIMUM_CRASHES = 256;

/** A crash of a server, with the fingerprints of what it was running. */
export type ServerCrash = {
  /** Address of the server, or its instance name. */
  server: string;
  running: readonly string[];
  /** Those of them that were started as suspects. */
  suspects: readonly string[];
};

type Crash = { at: number; fingerprints: ReadonlySet<string> };

type Run = { fingerprint: string; backendServer: string; expiresAt: number };

/** Suspects, quarantined fingerprints and the one suspect that is running. */
export class CrashSuspects {
  /** Ordered by the last change, oldest first. */
  readonly #statuses = new Map<string, FingerprintStatus>();
  /** Last crash of each server, oldest first. */
  readonly #crashes = new Map<string, Crash>();
  readonly #rule: QuarantineRule;
  /** Fingerprints whose status has changed since it was last taken. */
  readonly #changed = new Set<string>();
  #run: Run | undefined;

  constructor(rule: QuarantineRule = new IsolatedRunRule()) {
    this.#rule = rule;
  }

  /** Returns how to handle a request with this fingerprint now. */
  verdict(fingerprint: string, now: number): SuspectVerdict {
    const status = this.#currentStatus(fingerprint, now);
    if (status === undefined || status.kind === "clear") {
      return { kind: "clear" };
    }
    if (status.kind === "suspect") {
      const { crashes, servers } = status;
      return { kind: "suspect", crashes, servers };
    }
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
      soleSuspectCrashes: 0,
      servers: [],
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
    this.recordServerCrash({
      server: backendServer,
      running: [...running],
      suspects: [],
    }, now);
  }

  /** Records a crash that is reported once. */
  recordServerCrash(crash: ServerCrash, now: number): void {
    for (const fingerprint of new Set(crash.running)) {
      this.#addCrash(fingerprint, crash, now);
    }
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
      const status = this.#currentStatus(fingerprint, now);
      if (!supersedes(statement, status)) continue;
      this.#store(fingerprint, { ...stated, expiresAt: now + remaining });
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

  #statementsOf(
    fingerprints: Iterable<string>,
    now: number,
  ): SuspectStatement[] {
    const statements: SuspectStatement[] = [];
    for (const fingerprint of fingerprints) {
      const status = this.#statuses.get(fingerprint);
      if (status === undefined || status.expiresAt <= now) continue;
      const { expiresAt, ...stated } = status;
      statements.push({ fingerprint, ...stated, remaining: expiresAt - now });
    }
    return statements;
  }

  #addCrash(
    fingerprint: string,
    { server, running, suspects }: ServerCrash,
    now: number,
  ): void {
    const status = this.#currentStatus(fingerprint, now);
    const crashes = (status?.crashes ?? 0) + 1;
    const soleSuspectCrashes = (status?.soleSuspectCrashes ?? 0) +
      (suspects.length === 1 && suspects[0] === fingerprint ? 1 : 0);
    const ranAlone = running.length === 1;
    const quarantined = this.#rule
      .isProven({ crashes, soleSuspectCrashes, ranAlone });
    const others = (status?.servers ?? []).filter((other) => other !== server);
    this.#store(fingerprint, {
      kind: quarantined ? "quarantined" : "suspect",
      revision: (status?.revision ?? 0) + 1,
      crashes,
      soleSuspectCrashes,
      servers: [server, ...others].slice(0, MAXIMUM_SERVERS),
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
      this.#forget(fingerprint);
      return undefined;
    }
    const renewed: FingerprintStatus = {
      ...status,
      kind: "suspect",
      revision: status.revision + 1,
      expiresAt: status.expiresAt + SUSPICION_DURATION,
    };
    this.#store(fingerprint, renewed);
    return renewed;
  }

  #store(fingerprint: string, status: FingerprintStatus): void {
    this.#statuses.delete(fingerprint);
    this.#statuses.set(fingerprint, status);
    this.#changed.add(fingerprint);
    if (this.#statuses.size > MAXIMUM_FINGERPRINTS) this.#evict();
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
  }
}

function evictOldest<Value>(map: Map<string, Value>, capacity: number): void {
  if (map.size <= capacity) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
