import fc from "fast-check";
import t from "tap";
import { rolloutCases } from "./rollout_cases.ts";
import { RolloutSimulation } from "./rollout_simulation.ts";
import type { Fault, SimulationOptions } from "./rollout_simulation.ts";

/** Milliseconds after the 50th bad answer until which requests may be sent. */
const ROLLBACK_TIME = 5000;

const SLOW: Fault = { kind: "slow", share: 0.5, after: 0, underLoad: false };

/** Parts of the duration at which the granting entry is lost. */
function withLosses(
  options: SimulationOptions,
  parts: readonly number[],
): SimulationOptions {
  const losses = parts.map((part) =>
    Math.round(part * options.duration / 10) * 10
  );
  return { ...options, losses };
}

const twoLosses = fc.tuple(
  fc.double({ min: 0.2, max: 0.4, noNaN: true }),
  fc.double({ min: 0.5, max: 0.8, noNaN: true }),
);

/** Servers of which few are used on trial, and these as busy as the others. */
const busyCases = rolloutCases.map((options) => ({
  ...options,
  servers: { old: 24, new: 24, slots: 4 },
  routes: [{ runTime: 450, isStream: true }],
  rate: 100,
}));

function assertRolledBack(options: SimulationOptions): void {
  const simulation = new RolloutSimulation(options).run();
  const { outcome, exposed, requests, badAnswers } = simulation;
  const bound = 0.1 * requests + 50;
  if (outcome !== "rolled_back") throw new Error(outcome);
  if (exposed > bound) throw new Error(`${exposed} of ${bound}`);
  const last = (simulation.fiftiethBadAt ?? Infinity) + ROLLBACK_TIME;
  if (simulation.lastExposedAt > last) throw new Error(`${badAnswers} bad`);
}

function succeedsWith(options: SimulationOptions): boolean {
  return new RolloutSimulation(options).run().outcome === "succeeded";
}

t.test("a slow version is rolled back though two granting entries are lost", (t) => {
  fc.assert(
    fc.property(
      rolloutCases,
      twoLosses,
      fc.boolean(),
      (options, losses, losesEvidence) => {
        const lossy = { ...withLosses(options, losses), losesEvidence };
        assertRolledBack({ ...lossy, fault: SLOW });
      },
    ),
    { seed: 5, numRuns: 40 },
  );
  t.end();
});

t.test("one that is slow under load is rolled back after two losses", (t) => {
  const fault = { ...SLOW, underLoad: true, share: 0.9 };
  fc.assert(
    fc.property(busyCases, twoLosses, (options, losses) => {
      const lossy = { ...withLosses(options, losses), losesEvidence: true };
      assertRolledBack({ ...lossy, fault });
    }),
    { seed: 6, numRuns: 20 },
  );
  t.end();
});

t.test("with few requests a loss hides no more slow versions than none", (t) => {
  const succeeded = { intact: 0, lossy: 0 };
  fc.assert(
    fc.property(rolloutCases, twoLosses, (options, losses) => {
      const intact = { ...options, rate: 10, fault: SLOW };
      const lossy = withLosses(intact, losses);
      if (succeedsWith(intact)) succeeded.intact++;
      if (succeedsWith(lossy)) succeeded.lossy++;
    }),
    { seed: 9, numRuns: 80 },
  );
  const { intact, lossy } = succeeded;
  t.ok(lossy <= intact, `${lossy} and ${intact} of 80`);
  t.end();
});

t.test("a good version succeeds though two granting entries are lost", (t) => {
  fc.assert(
    fc.property(rolloutCases, twoLosses, (options, losses) => {
      const simulation = new RolloutSimulation(withLosses(options, losses));
      const { outcome, reason } = simulation.run();
      if (outcome !== "succeeded") throw new Error(reason);
    }),
    { seed: 7, numRuns: 20 },
  );
  t.end();
});
