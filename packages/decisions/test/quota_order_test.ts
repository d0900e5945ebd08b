import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { loadKind } from "./request_profile.ts";
import { serverRecord } from "./server_record.ts";
import { VirtualFleet } from "./fleet_simulation.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 20_000 };
const QUOTA = { ratePerSecond: 12_000, burst: 12_000 };
const ACCEPTED = (8 * QUOTA.ratePerSecond + QUOTA.burst) * 1.1 + LEEWAY.slack;

function play(seed: number): VirtualFleet {
  const desk = new GroupScheduler(LEEWAY);
  desk.setServers(["x", "y"].map((id) => serverRecord(id, { slots: 12 })));
  desk.setQuotas(new Map([["hot", QUOTA]]), { room: 1, quota: 1 }, 0);
  const fleet = new VirtualFleet({
    desk,
    kinds: [loadKind("hot", 60), loadKind("calm", 6)],
    speeds: new Map([["x@1", 0.4], ["y@1", 0.4]]),
    seed,
  });
  fleet.play(16_000);
  return fleet;
}

/** Tokens that the hot organisation was granted in each window of a second. */
function windows(fleet: VirtualFleet): number[] {
  const sums: number[] = [];
  for (let from = 0; from <= 16_000 - LEEWAY.window; from += 1000) {
    const inside = fleet.grants.filter(({ at, organisation }) =>
      organisation === "hot" && at >= from && at < from + LEEWAY.window
    );
    sums.push(inside.reduce((sum, { charge }) => sum + charge, 0));
  }
  return sums;
}

t.test("a hot organisation gets what is accepted, also while many wait", (t) => {
  // One organisation sends five times what it may use, more than there are places
  // for. Charged as they arrived, its requests used up the quota while they waited
  // for places; most then lapsed, and others were refused for the quota for which
  // places were free: the organisation got half of what it may use.
  for (const seed of [1, 2, 3]) {
    const fleet = play(seed);
    const sums = windows(fleet);
    const least = Math.min(...sums);
    const largest = Math.max(...sums);
    t.comment(`in 8 s: ${least} to ${largest} of ${ACCEPTED}`);
    t.ok(largest <= ACCEPTED, `${largest} of ${ACCEPTED}`);
    t.ok(least > ACCEPTED * 0.75, `${least} of ${ACCEPTED}`);
    const calm = fleet.results.get("calm")!;
    t.ok(calm.onTime > calm.asked * 0.75, `${calm.onTime} of ${calm.asked}`);
  }
  t.end();
});
