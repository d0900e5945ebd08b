/** Checks the health of the backend server at intervals. @module */
import { setTimeout as sleep } from "node:timers/promises";
import type { HttpHeaders } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { BackendClient } from "./backend_client.ts";

/** Options of {@link HealthProbe}; `interval` in milliseconds. */
export type HealthProbeOptions = {
  client: BackendClient;
  path: string;
  interval: number;
  onChange: (healthy: boolean) => void;
  /**
   * Called with the headers of each successful probe's response, and when the
   * probe was sent, in monotonic milliseconds.
   */
  onResponse: (headers: HttpHeaders, sentAt: number) => void;
};

/**
 * Failed probes in a row after which the server counts as unhealthy. A single
 * lost probe must not empty its queue. A refused connection of a request makes
 * it unhealthy at once.
 */
const UNHEALTHY_THRESHOLD = 2;
/** Milliseconds within which the server must respond to a probe. */
const PROBE_TIMEOUT = 2000;

/** Tracks the server's health; unhealthy until the first success. */
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

  /** Probes the server once; resolves to whether the probe succeeded. */
  async check(): Promise<boolean> {
    const { client, path } = this.#options;
    const sentAt = monotonicNow();
    const headers = await client.probe(path, PROBE_TIMEOUT);
    const isHealthy = headers !== undefined;
    if (this.#stop.signal.aborted) return isHealthy;
    this.#failures = isHealthy ? 0 : this.#failures + 1;
    if (headers !== undefined) {
      this.#options.onResponse(headers, sentAt);
      this.#setHealthy(true);
    } else if (this.#failures >= UNHEALTHY_THRESHOLD) this.#setHealthy(false);
    return isHealthy;
  }

  /** Marks the server as unhealthy at once, without further probes. */
  markUnhealthy(): void {
    this.#failures = UNHEALTHY_THRESHOLD;
    this.#setHealthy(false);
  }

  stop(): void {
    this.#stop.abort();
  }

  #setHealthy(healthy: boolean): void {
    if (healthy === this.#healthy) return;
    this.#healthy = healthy;
    this.#options.onChange(healthy);
  }
}
