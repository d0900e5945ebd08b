/** The simulated fleet: engines, network delays and load reports. @module */
import type { Engine } from "../model/engine.ts";
import type { EventLoop } from "../model/event_loop.ts";
import type { Random } from "../model/random.ts";
import type { Deployment } from "../workload/deployment.ts";

/** Milliseconds from taking a load report until the entries receive it. */
export const REPORT_DELAY = 1000;
/** Milliseconds between the load reports of an engine. */
const REPORT_INTERVAL = 250;

/** An engine's load at the time `takenAt`. */
export type LoadReport = {
  alive: boolean;
  /** Requests that run or wait at the engine. */
  outstanding: number;
  takenAt: number;
};

/** What a policy has access to in one run. */
export class Fleet {
  readonly loop: EventLoop;
  readonly engines: readonly Engine[];
  readonly deployment: Deployment;
  readonly random: Random;
  readonly #reports: LoadReport[];
  /** One-way delays in milliseconds, by entry and engine. */
  readonly #delays: number[][];

  constructor(options: {
    loop: EventLoop;
    engines: readonly Engine[];
    deployment: Deployment;
    random: Random;
  }) {
    this.loop = options.loop;
    this.engines = options.engines;
    this.deployment = options.deployment;
    this.random = options.random;
    this.#reports = this.engines.map(() => ({
      alive: true,
      outstanding: 0,
      takenAt: 0,
    }));
    const { entries, minDelay, maxDelay } = options.deployment;
    this.#delays = Array.from(
      { length: entries },
      () => this.engines.map(() => options.random.between(minDelay, maxDelay)),
    );
    this.#takeReports();
  }

  /** Returns the last report of the engine that has arrived. */
  report(index: number): LoadReport {
    return this.#reports[index]!;
  }

  /**
   * Runs `action` after the one-way delay between the entry and the engine.
   * Actions of the same link keep their order.
   */
  send(entry: number, engine: number, action: () => void): void {
    this.loop.scheduleAfter(this.#delays[entry]![engine]!, action);
  }

  #takeReports(): void {
    for (const [index, engine] of this.engines.entries()) {
      const report = {
        alive: engine.alive,
        outstanding: engine.runningCount + engine.waitingCount,
        takenAt: this.loop.now,
      };
      this.loop.scheduleAfter(REPORT_DELAY, () => {
        this.#reports[index] = report;
      });
    }
    this.loop.scheduleAfter(REPORT_INTERVAL, () => this.#takeReports());
  }
}
