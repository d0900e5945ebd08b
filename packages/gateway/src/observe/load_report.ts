/** How full services are and which limits their servers state. @module */
import type { GrantClient } from "../peers/grant_client.ts";
import type { EventLog } from "./event_log.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Logged each second and shown as gauges. */
export class LoadReport {
  readonly #granter: GrantClient;
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;
  readonly #shares: () => number;

  constructor(
    options: {
      grantClient: GrantClient;
      log: EventLog;
      metrics: GatewayMetrics;
      /** Shares that all entries have together. */
      totalShares: () => number;
    },
  ) {
    this.#granter = options.grantClient;
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#shares = options.totalShares;
  }

  log(): void {
    const { fractions: parts } = this.#granter;
    const fleet = Math.round(this.#shares() * 10) / 10;
    for (const load of this.#granter.loads()) {
      this.#log.write({ event: "load", ...load, ...parts, fleet });
    }
  }

  /** Brings the gauges up to date. */
  updateGauges(): void {
    const { waitingRequests: waiting, runningRequests: running } =
      this.#metrics;
    for (const load of this.#granter.loads()) {
      const { service } = load;
      waiting.set({ service }, load.waiting);
      running.set({ service }, load.running);
    }
    const { serverLimit, serverLimitAge } = this.#metrics;
    serverLimit.reset();
    serverLimitAge.reset();
    for (const { server, limit, age } of this.#granter.limits.withAges()) {
      serverLimit.set({ server, by: limit.by }, limit.perSecond);
      serverLimitAge.set({ server }, age / 1000);
    }
  }
}
