/**
 * Detects requests that crash backend servers ("queries of death"), and parts of
 * prompts that do so in whichever request they are.
 *
 * Such a request kills each server that runs it and is sent again by its
 * caller, so it could take down the whole service, one server after the other.
 * A request is known by its fingerprints: one of the whole request, and one of
 * each part of its prompt that other requests may share. All fingerprints of
 * the requests that were running on a server when it crashed become suspects,
 * and a {@link QuarantineRule} decides when further crashes prove the cause.
 *
 * A complete run clears all fingerprints of its request, so that a harmless
 * request that is sent often is not quarantined for having run during crashes.
 * A prompt part that has had a complete run lately is no suspect, unless servers
 * continue to crash under it and none completes. Once a cause is proved, the
 * crashes that it explains no longer count against requests that ran beside it.
 *
 * Sidecars run a suspect alone on its server, and only one suspect at a time. A
 * granting entry runs suspects beside other requests, one request with each
 * suspect fingerprint at a time; one that two servers have crashed under runs
 * where no other suspect does.
 *
 * A suspicion lasts 10 minutes, longer than callers continue to retry. A
 * quarantine lasts as long; afterwards the fingerprint is a suspect again and
 * may crash one more server. 4096 fingerprints of about 150 bytes are kept,
 * half a megabyte; a crash adds at most one batch of a server, about 64 requests
 * with a few parts each.
 * @module
 */
import { CompleteRuns } from "./complete_runs.ts";
import { IsolatedRunRule } from "./quarantine_rule.ts";
import type { QuarantineRule } from "./quarantine_rule.ts";
import { CrashReports } from "./crash_reports.ts";
import { RecentCrashes } from "./recent_crashes.ts";
import { ISOLATED_FROM, partCauses } from "./part_causes.ts";
import { isPromptPart } from "./prompt_part.ts";
import { CrashCounts } from "./crash_counts.ts";
import { ReservedRun } from "./reserved_run.ts";
import { fingerprintsOfKey } from "./fingerprint_status.ts";
import type { SuspectStatement } from "./fingerprint_status.ts";

/**
 * How a request has to be handled, and the fingerprints that are the reason;
 * `retryAfter` in milliseconds.
 */
export type SuspectVerdict =
  | { kind: "clear" }
  | {
    kind: "suspect";
    fingerprints: readonly string[];
    /** Crashes under the fingerprint that has the most. */
    crashes: number;
    /** Addresses of the servers that crashed last under any of them. */
    servers: readonly string[];
    /** The same request has run to the end lately. */
    hasCompleted: boolean;
  }
  | {
    kind: "quarantined";
    fingerprints: readonly string[];
    retryAfter: number;
  };

/**
 * A prompt part that has had a complete run lately becomes a suspect after this
 * number of crashes without another complete run, in at least this number of
 * milliseconds. Several servers that fail at the same moment are not enough.
 */
const UNTRUSTED_CRASHES = 5;
const UNTRUSTED_AFTER = 1500;

/** A request that ran at a server when it crashed. */
export type CrashedRun = {
  /** Of the whole request first, then of the parts of its prompt. */
  fingerprints: readonly string[];
  /** Those of them that were suspects when the run started. */
  suspects: readonly string[];
  /**
   * The server may have crashed before the run was granted, so that the run
   * proves no cause.
   */
  mayFollowCrash?: boolean;
};

/** A crash of a server, and what it was running. */
export type ServerCrash = {
  /** Address of the server, or its instance name. */
  server: string;
  runs: readonly CrashedRun[];
};

/** Judges requests by the crashes of servers that ran them. */
export class CrashSuspects {
  readonly #counts = new CrashCounts();
  readonly #rule: QuarantineRule;
  readonly #reports = new CrashReports();
  readonly #recentCrashes = new RecentCrashes();
  readonly #completeRuns = new CompleteRuns();
  readonly #completeRequests = new CompleteRuns();
  readonly #reservedRun = new ReservedRun();

  constructor(rule: QuarantineRule = new IsolatedRunRule()) {
    this.#rule = rule;
  }

  /** Returns how to handle a request with this fingerprint alone now. */
  verdict(fingerprint: string, now: number): SuspectVerdict {
    return this.verdictOf([fingerprint], now);
  }

  /** Returns how to handle a request with all these fingerprints now. */
  verdictOf(fingerprints: readonly string[], now: number): SuspectVerdict {
    if (this.#counts.isEmpty) return { kind: "clear" };
    const [key] = this.#counts.quarantinesOf(fingerprints, now);
    if (key !== undefined) {
      const { expiresAt } = this.#counts.get(key, now)!;
      return {
        kind: "quarantined",
        fingerprints: fingerprintsOfKey(key),
        retryAfter: expiresAt - now,
      };
    }
    const suspects = this.#suspectsAmong(fingerprints, now);
    if (suspects.length === 0) return { kind: "clear" };
    const statuses = suspects
      .map((fingerprint) => this.#counts.get(fingerprint, now)!);
    return {
      kind: "suspect",
      fingerprints: suspects,
      crashes: Math.max(...statuses.map(({ crashes }) => crashes)),
      servers: [...new Set(statuses.flatMap(({ servers }) => servers))],
      hasCompleted: this.#completeRequests.count(fingerprints[0]!, now) > 0,
    };
  }

  /**
   * Crashes under a fingerprint since its last complete run, and the complete
   * runs of a prompt part that are remembered.
   */
  evidence(
    fingerprint: string,
    now: number,
  ): { crashes: number; completeRuns: number } {
    return {
      crashes: this.#counts.get(fingerprint, now)?.crashes ?? 0,
      completeRuns: this.#completeRuns.count(fingerprint, now),
    };
  }

  /** Whether no other suspect is running. */
  mayStartRun(now: number): boolean {
    return this.#reservedRun.mayStart(now);
  }

  /** Reserves the run of a suspect; false if another one is running. */
  tryStartRun(
    fingerprint: string,
    backendServer: string,
    now: number,
  ): boolean {
    if (!this.#reservedRun.tryStart(fingerprint, backendServer, now)) {
      return false;
    }
    this.#reports.forget(backendServer);
    return true;
  }

  /** Ends a run without a result: it was cancelled or never started. */
  cancelRun(fingerprint: string): void {
    this.#reservedRun.end(fingerprint);
  }

  /** Records a complete run, which clears the fingerprint. */
  recordCompleteRun(fingerprint: string, now: number): void {
    this.cancelRun(fingerprint);
    this.recordCompletePartRun(fingerprint, now);
    if (!isPromptPart(fingerprint)) {
      this.#completeRequests.record(fingerprint, now);
    }
    this.#counts.clear(fingerprint, now);
  }

  /**
   * Records a complete run under a prompt part without any effect on a
   * suspicion, which only the granting entry clears.
   */
  recordCompletePartRun(fingerprint: string, now: number): void {
    if (isPromptPart(fingerprint)) this.#completeRuns.record(fingerprint, now);
  }

  /**
   * Records that a server crashed while it ran requests with these fingerprints.
   * Reports of the same crash over several links count once.
   */
  recordCrash(
    requests: readonly (readonly string[])[],
    backendServer: string,
    now: number,
  ): void {
    this.#reservedRun.endAt(backendServer);
    const running = new Set(requests.map(([fingerprint]) => fingerprint!));
    if (!this.#reports.isNew(running, backendServer, now)) return;
    const runs = requests.map((fingerprints) => ({
      fingerprints,
      suspects: this.#suspectsAmong(fingerprints, now),
    }));
    this.recordServerCrash({ server: backendServer, runs }, now);
  }

  /** Records a crash that is reported once. */
  recordServerCrash({ server, runs }: ServerCrash, now: number): void {
    const causes = runs.filter(({ fingerprints }) =>
      this.#counts.quarantinesOf(fingerprints, now).length > 0
    );
    if (causes.length > 0) {
      for (const { fingerprints } of causes) {
        this.#counts.addQuarantinedCrash(fingerprints, server, now);
      }
      return;
    }
    this.#recentCrashes
      .record(runs.map(({ fingerprints }) => fingerprints), now);
    const soleSuspect = this.#soleSuspect(runs, now);
    const sole = this.#currentSuspects(soleSuspect, now);
    for (const fingerprint of fingerprintsOfRuns(runs)) {
      this.#counts.addCrash(
        fingerprint,
        server,
        sole.includes(fingerprint),
        now,
      );
    }
    const ranAlone = runs.length === 1;
    for (const { fingerprints: [request] } of runs) {
      this.#quarantineIfProven(request!, ranAlone, now);
    }
    if (soleSuspect !== undefined) {
      this.#quarantinePartsIfProven(soleSuspect.fingerprints, ranAlone, now);
    }
  }

  /** Returns the statuses that are valid now, to be sent to peers. */
  statements(now: number): SuspectStatement[] {
    return this.#counts.statements(now);
  }

  /** Returns the statuses that have changed since the last call. */
  takeChanges(now: number): SuspectStatement[] {
    return this.#counts.takeChanges(now);
  }

  /** Merges a peer's statements, in any order and however often. */
  merge(statements: readonly SuspectStatement[], now: number): void {
    this.#counts.merge(statements, now);
  }

  #suspectsAmong(fingerprints: readonly string[], now: number): string[] {
    return fingerprints
      .filter((fingerprint) => this.#isSuspect(fingerprint, now));
  }

  /** Whether the fingerprint is suspected, and not trusted for its runs. */
  #isSuspect(fingerprint: string, now: number): boolean {
    const status = this.#counts.get(fingerprint, now);
    if (status?.kind !== "suspect") return false;
    if (this.#completeRuns.count(fingerprint, now) === 0) return true;
    const duration = status.lastCrashAt - status.firstCrashAt;
    return status.crashes >= UNTRUSTED_CRASHES && duration >= UNTRUSTED_AFTER;
  }

  /**
   * The run that was started as a suspect, if no other run at the server was,
   * or should be by now.
   */
  #soleSuspect(
    runs: readonly CrashedRun[],
    now: number,
  ): CrashedRun | undefined {
    const suspectRuns = runs.filter(({ fingerprints, suspects }) => {
      if (suspects.length > 0) return true;
      const verdict = this.verdictOf(fingerprints, now);
      return verdict.kind === "suspect" && verdict.crashes >= ISOLATED_FROM;
    });
    const [run, ...others] = suspectRuns;
    if (run === undefined || others.length > 0) return undefined;
    const isProof = run.suspects.length > 0 && !run.mayFollowCrash;
    return isProof ? run : undefined;
  }

  /** What a run was started as a suspect for and has not been cleared of. */
  #currentSuspects(run: CrashedRun | undefined, now: number): string[] {
    return run === undefined
      ? []
      : run.suspects.filter((fingerprint) =>
        this.#counts.get(fingerprint, now)?.kind !== "clear"
      );
  }

  #quarantineIfProven(request: string, ranAlone: boolean, now: number): void {
    const status = this.#counts.get(request, now);
    if (status?.kind !== "suspect") return;
    if (this.#rule.isProven({ ...status, ranAlone })) {
      this.#quarantine([request], now);
    }
  }

  /**
   * Quarantines parts of the prompt of a request that was the only suspect at
   * its server; see {@link partCauses}.
   */
  #quarantinePartsIfProven(
    [request, ...parts]: readonly string[],
    ranAlone: boolean,
    now: number,
  ): void {
    const requestCrashes = this.#counts.get(request!, now)?.crashes ?? 0;
    const suspects = this.#suspectsAmong(parts, now).map((part) => {
      const { crashes, soleSuspectCrashes } = this.#counts.get(part, now)!;
      return { part, crashes, soleSuspectCrashes, ranAlone };
    });
    const causes = partCauses(suspects, requestCrashes, this.#rule);
    if (causes.length > 0) this.#quarantine(causes, now);
  }

  /** Quarantines the cause, and uncounts the crashes that it explains. */
  #quarantine(fingerprints: readonly string[], now: number): void {
    this.#counts.quarantine(fingerprints, now);
    for (const cleared of this.#recentCrashes.explain(fingerprints)) {
      this.#counts.removeCrash(cleared, now);
    }
  }
}

/** All fingerprints of the runs, each once. */
function fingerprintsOfRuns(runs: readonly CrashedRun[]): Set<string> {
  return new Set(runs.flatMap(({ fingerprints }) => fingerprints));
}
