/**
 * Finds out whether a cut connection was a crash, and tells what ran then.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { CrashSuspects } from "@sycamorepulley/decisions";
import type { CrashedMessage } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import { CrashWatch } from "./crash_watch.ts";
import type { HealthProbe } from "./health_probe.ts";

/**
 * A dead process refuses a connection at once; one that is merely slow is not
 * waited for, since a caller waits for this answer. In milliseconds.
 */
const DIAGNOSIS = 100;

/** Options of {@link CrashReporter}. */
export type CrashReporterOptions = {
  instance: string;
  suspects: CrashSuspects;
  probe: () => HealthProbe;
  /** To every entry that is connected. */
  broadcast: (message: CrashedMessage) => void;
};

/** Keeps the suspects of this sidecar's service up to date. */
export class CrashReporter {
  readonly #options: CrashReporterOptions;
  readonly #watch = new CrashWatch();

  constructor(options: CrashReporterOptions) {
    this.#options = options;
  }

  /** A running request's connection broke; resolves once that is understood. */
  async diagnose(fingerprint: string | undefined): Promise<void> {
    this.#watch.cut(fingerprint, monotonicNow());
    const probe = this.#options.probe();
    const alive = await Promise.race([probe.check(), sleep(DIAGNOSIS, true)]);
    if (alive) return;
    probe.down();
    // Cut by the same crash, but after its first victim had been diagnosed.
    this.tell(monotonicNow());
  }

  /** The server is down: what ran as it died is told to all. */
  tell(now: number): void {
    const fingerprints = this.#watch.died(now);
    if (fingerprints.length === 0) return;
    const backendServer = this.#options.instance;
    const crash: CrashedMessage = {
      type: "crashed",
      fingerprints,
      backendServer,
    };
    this.learn(crash);
    this.#options.broadcast(crash);
  }

  /** Takes in a crash here or at another server of the service. */
  learn({ fingerprints, backendServer }: CrashedMessage): void {
    this.#options.suspects.recordCrash(
      fingerprints,
      backendServer,
      monotonicNow(),
    );
  }
}
