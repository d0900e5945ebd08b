/** What a policy works with in one run: time, engines and the network's delay. @module */
import type { Engine } from "../model/engine.ts";
import type { EventLoop } from "../model/event_loop.ts";
import type { Random } from "../model/random.ts";
import type { Deployment } from "../workload/deployment.ts";

/** Age of the load reports that entries see, in milliseconds. */
export const REPORT_AGE = 1000;
/** Time between load reports, in milliseconds. */
const REPORT_INTERVAL = 250;

/** An engine's load as reported some time ago. */
export type LoadReport = {
  alive: boolean;
  outstanding: number;
  takenAt: number;
};

/** See the module. */
export class Fleet {
  readonly loop: EventLoop;
  readonly engines: readonly Engine[];
  readonly deployment: Deployment;
  readonly random: Random;
  readonly #reports: LoadReport[];
  /** One-way delay by entry and engine. */
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
    const { entries, shortestDelay, longestDelay } = options.deployment;
    this.#delays = Array.from(
      { length: entries },
      () =>
        this.engines.map(() =>
          options.random.between(shortestDelay, longestDelay)
        ),
    );
    this.#takeReports();
  }

  /** The engine's last report to have arrived. */
  report(index: number): LoadReport {
    return this.#reports[index]!;
  }

  /** Runs `action` after the one-way delay of the link; links keep order. */
  send(entry: number, engine: number, action: () => void): void {
    this.loop.after(this.#delays[entry]![engine]!, action);
  }

  #takeReports(): void {
    for (const [index, engine] of this.engines.entries()) {
      const report = {
        alive: engine.alive,
        outstanding: engine.runningCount + engine.waitingCount,
        takenAt: this.loop.now,
      };
      this.loop.after(REPORT_AGE, () => {
        this.#reports[index] = report;
      });
    }
    this.loop.after(REPORT_INTERVAL, () => this.#takeReports());
  }
}
