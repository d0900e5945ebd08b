/** Asks the backend server at intervals whether it is well. @module */
import { setTimeout as sleep } from "node:timers/promises";
import type { BackendClient } from "./backend_client.ts";

/** Options of {@link HealthProbe}; times in milliseconds. */
export type HealthProbeOptions = {
  client: BackendClient;
  path: string;
  interval: number;
  onChange: (healthy: boolean) => void;
};

/**
 * Two failures in a row make a server unhealthy, so that one lost probe does
 * not empty its queue; a request that found nobody listening does at once.
 */
const FAILURES_TO_UNHEALTHY = 2;
const PROBE_TIMEOUT = 2000;

/** Knows whether the server is well; nothing is known at first. */
export class HealthProbe {
  readonly #options: HealthProbeOptions;
  readonly #stop = new AbortController();
  #healthy = false;
  #failures = 0;

  constructor(options: HealthProbeOptions) {
    this.#options = options;
  }

  get healthy(): boolean {
    return this.#healthy;
  }

  /** Probes until {@link stop}. */
  async run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      await this.check();
      await sleep(this.#options.interval, undefined, { signal }).catch(
        () => {},
      );
    }
  }

  /** Probes once, now; resolves to what it found. */
  async check(): Promise<boolean> {
    const { client, path } = this.#options;
    const well = await client.probe(path, PROBE_TIMEOUT);
    if (this.#stop.signal.aborted) return well;
    this.#failures = well ? 0 : this.#failures + 1;
    if (well) this.#change(true);
    else if (this.#failures >= FAILURES_TO_UNHEALTHY) this.#change(false);
    return well;
  }

  /** A request or a probe found nobody listening. */
  down(): void {
    this.#failures = FAILURES_TO_UNHEALTHY;
    this.#change(false);
  }

  stop(): void {
    this.#stop.abort();
  }

  #change(healthy: boolean): void {
    if (healthy === this.#healthy) return;
    this.#healthy = healthy;
    this.#options.onChange(healthy);
  }
}
