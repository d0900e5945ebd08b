/**
 * Requests that may have crashed a backend server: one instance per service.
 *
 * Answers the request that kills each server that runs it and is sent again by
 * its caller. Without it, one such request takes down the whole service, one
 * server after the other. What ran on a server when it died is suspect. A
 * suspect runs with nothing beside it and one at a time, so a further crash
 * takes one server and tells who did it: the second crash, if the suspect was
 * alone, quarantines it. A crash with others beside it never does, since an
 * innocent request that is sent often was beside both. A clean run clears.
 *
 * Figures: a suspicion lasts 10 minutes, longer than callers' resends. The
 * quarantine too; afterwards the fingerprint is a suspect again and risks one
 * server. 4096 fingerprints of about 150 bytes are held, half a megabyte; a
 * crash adds at most a server's batch, some 64.
 * @module
 */
import { supersedes } from "./suspicion.ts";
import type { SuspectStatement, Suspicion } from "./suspicion.ts";

/** How a request with the fingerprint is to be treated. */
export type SuspectVerdict =
  | { kind: "clear" }
  | { kind: "suspect" }
  | { kind: "quarantined"; retryAfter: number };

const SUSPICION_DURATION = 600_000;
const QUARANTINE_DURATION = 600_000;
/** A run whose end was never heard of gives its turn up after so long. */
const RUN_LAPSE = 300_000;
/** Entries hear of one crash over several links within so many milliseconds. */
const SAME_CRASH_WINDOW = 10_000;
const LARGEST_MEMORY = 4096;
const LARGEST_CRASH_MEMORY = 256;

type Crash = { at: number; fingerprints: ReadonlySet<string> };

type Run = { fingerprint: string; backendServer: string; until: number };

/** Suspicions, quarantines and the one suspect that is running. */
export class CrashSuspects {
  /** Oldest change first. */
  readonly #suspicions = new Map<string, Suspicion>();
  /** Last crash of each server, oldest first. */
  readonly #crashes = new Map<string, Crash>();
  #run: Run | undefined;

  /** How to treat a request with this fingerprint now. */
  verdict(fingerprint: string, now: number): SuspectVerdict {
    const held = this.#held(fingerprint, now);
    if (held === undefined || held.kind === "clear") return { kind: "clear" };
    if (held.kind === "suspect") return { kind: "suspect" };
    return { kind: "quarantined", retryAfter: held.until - now };
  }

  /** True when no other suspect is running, so that this one may. */
  mayStartRun(now: number): boolean {
    return this.#run === undefined || now >= this.#run.until;
  }

  /** Takes the turn to run a suspect; false when another has it. */
  tryStartRun(
    fingerprint: string,
    backendServer: string,
    now: number,
  ): boolean {
    if (!this.mayStartRun(now)) return false;
    this.#run = { fingerprint, backendServer, until: now + RUN_LAPSE };
    this.#crashes.delete(backendServer);
    return true;
  }

  /** Gives the turn back without a verdict: cancelled, or never ran. */
  cancelRun(fingerprint: string): void {
    if (this.#run?.fingerprint === fingerprint) this.#run = undefined;
  }

  /** States a clean run, which clears the fingerprint. */
  recordCleanRun(fingerprint: string, now: number): void {
    this.cancelRun(fingerprint);
    const held = this.#held(fingerprint, now);
    if (held?.kind !== "suspect") return;
    this.#store(fingerprint, {
      kind: "clear",
      revision: held.revision + 1,
      crashes: 0,
      until: now + SUSPICION_DURATION,
    });
  }

  /**
   * States that a server died while it ran these. The same crash, heard over
   * several links, counts once.
   */
  recordCrash(
    fingerprints: readonly string[],
    backendServer: string,
    now: number,
  ): void {
    if (this.#run?.backendServer === backendServer) this.#run = undefined;
    const ran = new Set(fingerprints);
    if (this.#alreadyCounted(ran, backendServer, now)) return;
    this.#crashes.delete(backendServer);
    this.#crashes.set(backendServer, { at: now, fingerprints: ran });
    forgetOldest(this.#crashes, LARGEST_CRASH_MEMORY);
    for (const fingerprint of ran) {
      this.#suspect(fingerprint, ran.size === 1, now);
    }
  }

  /** What to tell peers: standings that hold now. */
  statements(now: number): SuspectStatement[] {
    const statements: SuspectStatement[] = [];
    for (const [fingerprint, held] of this.#suspicions) {
      const { kind, revision, crashes, until } = held;
      const remaining = until - now;
      if (remaining <= 0) continue;
      statements.push({ fingerprint, kind, revision, crashes, remaining });
    }
    return statements;
  }

  /** Takes in what a peer tells; any order and repetition ends the same. */
  merge(statements: readonly SuspectStatement[], now: number): void {
    for (const statement of statements) {
      const { fingerprint, kind, revision, crashes, remaining } = statement;
      const held = this.#held(fingerprint, now);
      if (!supersedes(statement, held)) continue;
      const until = now + remaining;
      this.#store(fingerprint, { kind, revision, crashes, until });
    }
  }

  /** True for a crash that was heard before, by its server and what it ran. */
  #alreadyCounted(
    ran: ReadonlySet<string>,
    backendServer: string,
    now: number,
  ): boolean {
    const last = this.#crashes.get(backendServer);
    if (last === undefined || now - last.at >= SAME_CRASH_WINDOW) return false;
    if (last.fingerprints.size !== ran.size) return false;
    return [...ran].every((fingerprint) => last.fingerprints.has(fingerprint));
  }

  #suspect(fingerprint: string, alone: boolean, now: number): void {
    const held = this.#held(fingerprint, now);
    const crashes = (held?.crashes ?? 0) + 1;
    const convicted = alone && crashes >= 2;
    this.#store(fingerprint, {
      kind: convicted ? "quarantined" : "suspect",
      revision: (held?.revision ?? 0) + 1,
      crashes,
      until: now + (convicted ? QUARANTINE_DURATION : SUSPICION_DURATION),
    });
  }

  /** The standing at `now`; a quarantine that ended is a suspicion again. */
  #held(fingerprint: string, now: number): Suspicion | undefined {
    const held = this.#suspicions.get(fingerprint);
    if (held === undefined || now < held.until) return held;
    if (held.kind !== "quarantined" || now >= held.until + SUSPICION_DURATION) {
      this.#suspicions.delete(fingerprint);
      return undefined;
    }
    const renewed: Suspicion = {
      kind: "suspect",
      revision: held.revision + 1,
      crashes: held.crashes,
      until: held.until + SUSPICION_DURATION,
    };
    this.#store(fingerprint, renewed);
    return renewed;
  }

  #store(fingerprint: string, suspicion: Suspicion): void {
    this.#suspicions.delete(fingerprint);
    this.#suspicions.set(fingerprint, suspicion);
    forgetOldest(this.#suspicions, LARGEST_MEMORY);
  }
}

function forgetOldest<Value>(map: Map<string, Value>, largest: number): void {
  if (map.size <= largest) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
