import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { requestProfile } from "./request_profile.ts";
import { serverRecord } from "./server_record.ts";
import { FleetSimulation } from "./fleet_simulation.ts";
import type { Call } from "./fleet_simulation.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 140_000 };
const QUOTA = { ratePerSecond: 36_000, burst: 36_000 };

const PROFILE = {
  maximumWait: 1600,
  deadline: 12_000,
  prompt: 2400,
  spread: 1.2,
};

function simulate(seed: number): FleetSimulation {
  const scheduler = new GroupScheduler(LEEWAY);
  const names = ["u", "v", "w", "x", "y", "z"];
  scheduler.setServers(names.map((id) => serverRecord(id, { slots: 12 })), 0);
  scheduler.setQuotas(new Map([["hot", QUOTA]]), { room: 1, quota: 1 }, 0);
  const simulation = new FleetSimulation({
    scheduler,
    profiles: [
      requestProfile("hot", 60, PROFILE),
      requestProfile("calm", 6, PROFILE),
    ],
    speeds: new Map(names.map((id) => [`${id}@1`, 2])),
    seed,
  });
  simulation.run(20_000);
  return simulation;
}

/** Returns the fraction of the requests that were served. */
function servedFraction(calls: readonly Call[]): number {
  return calls.filter(({ outcome }) => outcome.served).length / calls.length;
}

t.test("large requests are not starved when the quota is exceeded", (t) => {
  for (const seed of [1, 2, 3]) {
    const simulation = simulate(seed);
    const hot = simulation.requests
      .filter(({ profile, arrivedAt }) =>
        profile.name === "hot" && arrivedAt > 2000
      )
      .sort((one, other) => other.cost.promptTokens - one.cost.promptTokens);
    const tenthSize = Math.ceil(hot.length / 10);
    const largest = servedFraction(hot.slice(0, tenthSize));
    const nextFifth = servedFraction(hot.slice(tenthSize, 3 * tenthSize));
    const all = servedFraction(hot);
    t.comment(
      `served ${largest.toFixed(2)}, ${nextFifth.toFixed(2)} of ${
        all.toFixed(2)
      }`,
    );
    t.ok(largest >= all / 2, `largest tenth ${largest} of ${all}`);
    t.ok(nextFifth >= all / 2, `next fifth ${nextFifth} of ${all}`);
    t.ok(all < 0.8, `served ${all}: load does not exceed the quota`);
  }
  t.end();
});
