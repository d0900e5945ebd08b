import fc from "fast-check";
import t from "tap";
import { rolloutCases } from "./rollout_cases.ts";
import { RolloutSimulation } from "./rollout_simulation.ts";
import type { Fault, SimulationOptions } from "./rollout_simulation.ts";

/** Milliseconds after the 50th bad answer until which requests may be sent. */
const ROLLBACK_TIME = 5000;

/** The new servers stand, in part or all, where no old one does. */
const elsewhere: fc.Arbitrary<SimulationOptions> = fc.tuple(
  rolloutCases,
  fc.constantFrom(
    { old: ["a", "b"], new: ["c", "d"] },
    { old: ["a", "b"], new: ["b", "c"] },
    { old: ["a"], new: ["b"] },
  ),
).map(([options, dataCentres]) => ({ ...options, dataCentres }));

const fault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom("slow" as const, "failures" as const),
  share: fc.double({ min: 0.4, max: 0.9, noNaN: true }),
  after: fc.constantFrom(0, 2000, 4000),
  underLoad: fc.constant(false),
});

t.test("a bad version in other data centres is rolled back", (t) => {
  // Its runs had none of the same data centre to be compared with.
  fc.assert(
    fc.property(elsewhere, fault, (options, fault) => {
      const simulation = new RolloutSimulation({ ...options, fault }).run();
      const { outcome, exposed, requests, badAnswers } = simulation;
      const bound = 0.1 * requests + 50;
      if (outcome !== "rolled_back") throw new Error(outcome);
      if (exposed > bound) throw new Error(`${exposed} of ${bound}`);
      const last = (simulation.fiftiethBadAt ?? Infinity) + ROLLBACK_TIME;
      if (simulation.lastExposedAt > last) throw new Error(`${badAnswers} bad`);
    }),
    { seed: 5, numRuns: 40 },
  );
  t.end();
});

t.test("a good version in other data centres succeeds, also in slower ones", (t) => {
  const factors = fc.constantFrom(1, 1.5, 2);
  let failed = 0;
  fc.assert(
    fc.property(elsewhere, factors, (options, factor) => {
      const name = options.dataCentres!.new.at(-1)!;
      const simulation = new RolloutSimulation({
        ...options,
        slowDataCentre: { name, factor },
      });
      if (simulation.run().outcome !== "succeeded") failed++;
    }),
    { seed: 6, numRuns: 40 },
  );
  t.ok(failed <= 1, `${failed} of 40`);
  t.end();
});
