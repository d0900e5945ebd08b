/**
 * This process's place in the platform's instance list, and its view of it.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Instance, InstanceList } from "@sycamorepulley/store";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Shortest time between two reads of the list, in milliseconds. */
const LEAST_INTERVAL = 1000;
/** Each process of the fleet spaces all reads by this much, in milliseconds. */
const INTERVAL_PER_PROCESS = 5.4;

/** Options of {@link Membership}. */
export type MembershipOptions = {
  list: InstanceList;
  self: Instance;
  fleetSize: number;
  /** Absent: the list is not read, which is most of its traffic. */
  onInstances?: (instances: Instance[]) => void;
  random: () => number;
  metrics: Metrics;
  log: Log;
};

/** Registers, reads the list at intervals and deregisters at the end. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #stop = new AbortController();
  #self: Instance;
  #reachable = true;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#self = options.self;
  }

  /** Registers and reads until {@link deregister}. */
  async run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      await this.#register();
      await this.#read();
      const pause = this.#interval() * (0.75 + this.#options.random() / 2);
      await sleep(pause, undefined, { signal }).catch(() => {});
    }
  }

  /** States that this process takes no new work. */
  async announceDraining(): Promise<void> {
    this.#self = { ...this.#self, leaving: true };
    await this.#register();
  }

  /** Takes the process off the list. */
  async deregister(): Promise<void> {
    this.#stop.abort();
    await this.#options.list.deregister(this.#self.name);
  }

  #interval(): number {
    return Math.max(
      LEAST_INTERVAL,
      this.#options.fleetSize * INTERVAL_PER_PROCESS,
    );
  }

  async #register(): Promise<void> {
    const registered = await this.#options.list.register(this.#self);
    this.#noteReachable(registered.isOk);
    if (registered.isErr) this.#count(registered.error);
  }

  async #read(): Promise<void> {
    const { onInstances } = this.#options;
    if (!onInstances) return;
    const listed = await this.#options.list.list();
    if (listed.isErr) return this.#count(listed.error);
    // What is known stays known while the list can't be read.
    onInstances(listed.value);
  }

  #count(error: { step: string; reason: string }): void {
    const { step, reason } = error;
    this.#options.metrics.platformErrors.inc({ step, reason });
  }

  #noteReachable(reachable: boolean): void {
    if (reachable === this.#reachable) return;
    this.#reachable = reachable;
    if (reachable) this.#options.log.info("instance list reachable");
    else this.#options.log.warn("instance list unreachable");
  }
}
