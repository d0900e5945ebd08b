/** How full services are and which limits their servers state. @module */
import type { Granter } from "../peers/granter.ts";
import type { EventLog } from "./event_log.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Logged each second and shown as gauges. */
export class LoadReport {
  readonly #granter: Granter;
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;
  readonly #shares: () => number;

  constructor(
    options: {
      granter: Granter;
      log: EventLog;
      metrics: GatewayMetrics;
      /** Shares that all entries have together. */
      shares: () => number;
    },
  ) {
    this.#granter = options.granter;
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#shares = options.shares;
  }

  log(): void {
    const { parts } = this.#granter;
    const fleet = Math.round(this.#shares() * 10) / 10;
    for (const load of this.#granter.loads()) {
      this.#log.write({ event: "load", ...load, ...parts, fleet });
    }
  }

  /** Brings the gauges up to date. */
  refresh(): void {
    const { waiting, running } = this.#metrics;
    for (const load of this.#granter.loads()) {
      const { service } = load;
      waiting.set({ service }, load.waiting);
      running.set({ service }, load.running);
    }
    const { serverLimit, serverLimitAge } = this.#metrics;
    serverLimit.reset();
    serverLimitAge.reset();
    for (const { server, limit, age } of this.#granter.limits.ages()) {
      serverLimit.set({ server, by: limit.by }, limit.perSecond);
      serverLimitAge.set({ server }, age / 1000);
    }
  }
}
