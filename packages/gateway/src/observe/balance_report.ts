/**
 * Reports transfers between data centres, and the balance that decides on them.
 * @module
 */
import type { BalanceReport, PlannedShare } from "@sycamorepulley/decisions";
import type { EventLog } from "./event_log.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Change of a share of a data centre's demand from which on it is logged. */
const LOGGED_CHANGE = 0.1;

/** Counts transfers, and logs changes of the balance of each service. */
export class BalanceReporter {
  readonly #takeReports: () => BalanceReport[];
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;
  /** Shares that were logged last, by service and pair of data centres. */
  readonly #logged = new Map<string, Map<string, number>>();

  constructor(
    options: {
      takeReports: () => BalanceReport[];
      log: EventLog;
      metrics: GatewayMetrics;
    },
  ) {
    this.#takeReports = options.takeReports;
    this.#log = options.log;
    this.#metrics = options.metrics;
  }

  /** Updates the metrics, and logs changes since the last call. */
  update(): void {
    const { slotPrice, plannedShare, balanceSlots } = this.#metrics;
    slotPrice.reset();
    plannedShare.reset();
    balanceSlots.reset();
    for (const report of this.#takeReports()) {
      this.#countTransfers(report);
      this.#setGauges(report);
      this.#logChange(report);
    }
  }

  #countTransfers({ service, transfers }: BalanceReport): void {
    const { transferredRequests, transferredBytes } = this.#metrics;
    for (const { from, to, cause, requests, bytes } of transfers) {
      const labels = { service, from, to, cause };
      transferredRequests.inc(labels, requests);
      transferredBytes.inc(labels, Math.round(bytes));
    }
  }

  #setGauges({ service, state }: BalanceReport): void {
    if (state === undefined) return;
    const { slotPrice, plannedShare, balanceSlots } = this.#metrics;
    for (const { dataCentre, price, demand, slots } of state.dataCentres) {
      const labels = { service, data_centre: dataCentre };
      slotPrice.set(labels, price);
      balanceSlots.set({ ...labels, kind: "demand" }, demand);
      balanceSlots.set({ ...labels, kind: "usable" }, slots);
    }
    for (const { from, to, share } of state.shares) {
      plannedShare.set({ service, from, to }, share);
    }
  }

  #logChange({ service, state }: BalanceReport): void {
    const shares = sharesByPair(state?.shares ?? []);
    const logged = this.#logged.get(service) ?? new Map<string, number>();
    const pairs = new Set([...shares.keys(), ...logged.keys()]);
    const isChanged = [...pairs].some((pair) =>
      Math.abs((shares.get(pair) ?? 0) - (logged.get(pair) ?? 0)) >
        LOGGED_CHANGE
    );
    if (!isChanged) return;
    this.#logged.set(service, shares);
    this.#log.write({
      event: "balance_changed",
      service,
      shares: state?.shares.map((share) => ({ ...share })) ?? [],
      dataCentres:
        state?.dataCentres.map((dataCentre) => ({ ...dataCentre })) ??
          [],
      age: state?.age ?? 0,
    });
  }
}

function sharesByPair(shares: readonly PlannedShare[]): Map<string, number> {
  return new Map(shares.map(({ from, to, share }) => [`${from} ${to}`, share]));
}
