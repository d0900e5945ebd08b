/**
 * Finds out whether a broken connection was caused by a crash of the backend
 * server, and reports which requests were running.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { CrashSuspects } from "@sycamorepulley/decisions";
import type { CrashedMessage } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import { crashedRuns } from "../common/crashed_runs.ts";
import { InterruptedRequests } from "./interrupted_requests.ts";
import type { HealthProbe } from "./health_probe.ts";

/**
 * Milliseconds to wait for a health check after a broken connection. A crashed
 * process refuses connections at once. A slow one counts as alive after this
 * time, because a caller is waiting for the result.
 */
const DIAGNOSIS_TIMEOUT = 100;

/** Options of {@link CrashReporter}. */
export type CrashReporterOptions = {
  instance: string;
  suspects: CrashSuspects;
  probe: () => HealthProbe;
  /** Sends a message to all connected entries. */
  broadcast: (message: CrashedMessage) => void;
};

/** Detects crashes of this server and records those of the whole service. */
export class CrashReporter {
  readonly #options: CrashReporterOptions;
  readonly #interrupted = new InterruptedRequests();

  constructor(options: CrashReporterOptions) {
    this.#options = options;
  }

  /**
   * Checks the server after the connection of a running request broke. Resolves
   * once a crash has been reported or ruled out.
   */
  async diagnose(fingerprints: readonly string[]): Promise<void> {
    this.#interrupted.record(fingerprints, monotonicNow());
    const probe = this.#options.probe();
    const isAlive = await Promise.race([
      probe.check(),
      sleep(DIAGNOSIS_TIMEOUT, true),
    ]);
    if (isAlive) return;
    probe.markUnhealthy();
    // Reports requests that the same crash interrupted, but which were recorded
    // only after the crash had been reported for the first of them.
    this.reportCrash(monotonicNow());
  }

  /** Reports the requests that were running when the server crashed, if any. */
  reportCrash(now: number): void {
    const runs = this.#interrupted.flush(now);
    if (runs.length === 0) return;
    const backendServer = this.#options.instance;
    const crash: CrashedMessage = {
      type: "crashed",
      fingerprints: runs.map(([request]) => request!),
      promptPartLists: runs.map(([, ...parts]) => parts),
      backendServer,
    };
    this.recordCrash(crash);
    this.#options.broadcast(crash);
  }

  /** Records a crash of this or another server of the service. */
  recordCrash(crash: CrashedMessage): void {
    this.#options.suspects.recordCrash(
      crashedRuns(crash),
      crash.backendServer,
      monotonicNow(),
    );
  }
}
