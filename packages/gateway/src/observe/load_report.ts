/** Reports the load of services and the limits of their servers. @module */
import type { GrantClient } from "../peers/grant_client.ts";
import type { EventLog } from "./event_log.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Logs the load of each service, and updates the gauges. */
export class LoadReport {
  readonly #grantClient: GrantClient;
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;
  readonly #totalShares: () => number;
  readonly #leavingServers: () => number;
  readonly #coldServers: () => { server: string; remaining: number }[];
  readonly #evacuatedDataCentres: () => string[];

  constructor(
    options: {
      grantClient: GrantClient;
      log: EventLog;
      metrics: GatewayMetrics;
      /** Total shares of all entries. */
      totalShares: () => number;
      /** Number of servers known to be leaving only from responses. */
      leavingServers: () => number;
      /** Cold servers, and for how many more milliseconds. */
      coldServers: () => { server: string; remaining: number }[];
      evacuatedDataCentres: () => string[];
    },
  ) {
    this.#grantClient = options.grantClient;
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#totalShares = options.totalShares;
    this.#leavingServers = options.leavingServers;
    this.#coldServers = options.coldServers;
    this.#evacuatedDataCentres = options.evacuatedDataCentres;
  }

  log(): void {
    const { fractions } = this.#grantClient;
    const fleet = Math.round(this.#totalShares() * 10) / 10;
    for (const load of this.#grantClient.loads()) {
      this.#log.write({ event: "load", ...load, ...fractions, fleet });
    }
    this.#logSizeClasses();
  }

  /** Logs the priority classes of which fewer were granted than arrived. */
  #logSizeClasses(): void {
    for (const report of this.#grantClient.takeSizeClassReports()) {
      const { service, priorityClass, counts } = report;
      const { largest, large, usual } = counts;
      const requests = largest.requests + large.requests + usual.requests;
      const granted = largest.grants + large.grants + usual.grants;
      if (granted >= requests) continue;
      this.#log.write({
        event: "size_classes",
        service,
        priorityClass,
        requests,
        granted,
        largest: largest.requests,
        largestGranted: largest.grants,
        large: large.requests,
        largeGranted: large.grants,
      });
    }
  }

  updateGauges(): void {
    const { waitingRequests, runningRequests } = this.#metrics;
    for (const load of this.#grantClient.loads()) {
      const { service } = load;
      waitingRequests.set({ service }, load.waiting);
      runningRequests.set({ service }, load.running);
    }
    const { leavingServers, serverBackoff } = this.#metrics;
    leavingServers.set(this.#leavingServers());
    this.#metrics.quarantinedRequests.set(
      this.#grantClient.suspects.countQuarantined(),
    );
    serverBackoff.reset();
    for (const { server, remaining } of this.#grantClient.activeBackoffs()) {
      serverBackoff.set({ server }, remaining / 1000);
    }
    const { serverLimit, serverLimitAge } = this.#metrics;
    serverLimit.reset();
    serverLimitAge.reset();
    for (const { server, limit, age } of this.#grantClient.limits.withAges()) {
      serverLimit.set({ server, by: limit.by }, limit.perSecond);
      serverLimitAge.set({ server }, age / 1000);
    }
    this.#updatePlaces();
    this.#updateExclusions();
    this.#updateAppointments();
    this.#updateReportedLoads();
  }

  #updateReportedLoads(): void {
    const { serverPace, serverLoadAge } = this.#metrics;
    serverPace.reset();
    serverLoadAge.reset();
    for (const { server, load, age } of this.#grantClient.reportedLoads()) {
      serverLoadAge.set({ server }, age / 1000);
      if (load.pace !== undefined) serverPace.set({ server }, load.pace / 100);
    }
  }

  #updateExclusions(): void {
    const { excludedServers } = this.#metrics;
    excludedServers.reset();
    for (const { service, counts } of this.#grantClient.exclusions()) {
      for (const [cause, count] of counts) {
        excludedServers.set({ service, cause }, count);
      }
    }
  }

  #updateAppointments(): void {
    const { appointments, forecastAge } = this.#metrics;
    forecastAge.reset();
    for (const report of this.#grantClient.takeAppointmentReports()) {
      const { service, counts, forecastAge: age } = report;
      for (const [state, number] of Object.entries(counts)) {
        if (number > 0) appointments.inc({ service, state }, number);
      }
      if (Number.isFinite(age)) forecastAge.set({ service }, age / 1000);
    }
  }

  /** Updates the gauges of cold servers and evacuated data centres. */
  #updatePlaces(): void {
    const { coldServers, evacuatedDataCentres } = this.#metrics;
    coldServers.reset();
    for (const { server, remaining } of this.#coldServers()) {
      coldServers.set({ server }, remaining / 1000);
    }
    evacuatedDataCentres.reset();
    for (const dataCentre of this.#evacuatedDataCentres()) {
      evacuatedDataCentres.set({ data_centre: dataCentre }, 1);
    }
  }
}
