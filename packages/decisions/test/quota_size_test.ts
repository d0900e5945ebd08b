import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { loadKind } from "./request_profile.ts";
import { serverRecord } from "./server_record.ts";
import { VirtualFleet } from "./fleet_simulation.ts";
import type { Call } from "./fleet_simulation.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 140_000 };
const QUOTA = { ratePerSecond: 36_000, burst: 36_000 };

const SIZES = {
  patience: 1600,
  deadline: 12_000,
  prompt: 2400,
  spread: 1.2,
};

function play(seed: number): VirtualFleet {
  const desk = new GroupScheduler(LEEWAY);
  const names = ["u", "v", "w", "x", "y", "z"];
  desk.setServers(names.map((id) => serverRecord(id, { slots: 12 })));
  desk.setQuotas(new Map([["hot", QUOTA]]), { room: 1, quota: 1 }, 0);
  const fleet = new VirtualFleet({
    desk,
    kinds: [loadKind("hot", 60, SIZES), loadKind("calm", 6, SIZES)],
    speeds: new Map(names.map((id) => [`${id}@1`, 2])),
    seed,
  });
  fleet.play(20_000);
  return fleet;
}

/** Fraction of the requests that were served. */
function servedFraction(calls: readonly Call[]): number {
  return calls.filter(({ outcome }) => outcome.served).length / calls.length;
}

t.test("large requests are not starved when the quota is exceeded", (t) => {
  for (const seed of [1, 2, 3]) {
    const fleet = play(seed);
    const hot = fleet.requests
      .filter(({ kind, bornAt }) => kind.name === "hot" && bornAt > 2000)
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
