/**
 * Registers this process in the platform's instance list and reads the list.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Instance, InstanceList } from "@sycamorepulley/store";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Minimum milliseconds between two reads of the list. */
const MIN_READ_INTERVAL = 1000;
/**
 * Milliseconds that each process of the fleet adds to the interval between
 * reads, so that the load on the list's service stays the same in large fleets.
 */
const READ_INTERVAL_PER_PROCESS = 5.4;

/** Options of {@link Membership}. */
export type MembershipOptions = {
  list: InstanceList;
  self: Instance;
  fleetSize: number;
  /**
   * Called with the list after each successful read. If absent the list is not
   * read, which saves most of the traffic.
   */
  onInstances?: (instances: Instance[]) => void;
  random: () => number;
  metrics: Metrics;
  log: Log;
};

/**
 * Registers this process and reads the list at intervals, and deregisters the
 * process when it stops.
 */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #stop = new AbortController();
  #self: Instance;
  #reachable = true;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#self = options.self;
  }

  /** Registers and reads the list at intervals until {@link deregister}. */
  async run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      await this.#register();
      await this.#readList();
      const pause = this.#readInterval() * (0.75 + this.#options.random() / 2);
      await sleep(pause, undefined, { signal }).catch(() => {});
    }
  }

  /** Registers this process as draining: it takes no new work. */
  async announceDraining(): Promise<void> {
    this.#self = { ...this.#self, leaving: true };
    await this.#register();
  }

  /** Removes this process from the list and ends {@link run}. */
  async deregister(): Promise<void> {
    this.#stop.abort();
    await this.#options.list.deregister(this.#self.name);
  }

  #readInterval(): number {
    return Math.max(
      MIN_READ_INTERVAL,
      this.#options.fleetSize * READ_INTERVAL_PER_PROCESS,
    );
  }

  async #register(): Promise<void> {
    const registered = await this.#options.list.register(this.#self);
    this.#setReachable(registered.isOk);
    if (registered.isErr) this.#countError(registered.error);
  }

  async #readList(): Promise<void> {
    const { onInstances } = this.#options;
    if (!onInstances) return;
    const listed = await this.#options.list.list();
    if (listed.isErr) return this.#countError(listed.error);
    // While the list can't be read, the instances read last stay in use.
    onInstances(listed.value);
  }

  #countError(error: { step: string; reason: string }): void {
    const { step, reason } = error;
    this.#options.metrics.platformErrors.inc({ step, reason });
  }

  #setReachable(reachable: boolean): void {
    if (reachable === this.#reachable) return;
    this.#reachable = reachable;
    if (reachable) this.#options.log.info("instance list reachable");
    else this.#options.log.warn("instance list unreachable");
  }
}
