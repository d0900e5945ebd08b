import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { requestProfile } from "./request_profile.ts";
import { serverRecord } from "./server_record.ts";
import { FleetSimulation } from "./fleet_simulation.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 20_000 };
const QUOTA = { ratePerSecond: 12_000, burst: 12_000 };
/** Tokens that are accepted in a window. */
const ACCEPTED = (8 * QUOTA.ratePerSecond + QUOTA.burst) * 1.1 + LEEWAY.slack;

function simulate(seed: number): FleetSimulation {
  const scheduler = new GroupScheduler(LEEWAY);
  scheduler.setServers(
    ["x", "y"].map((id) => serverRecord(id, { slots: 12 })),
    0,
  );
  scheduler.setQuotas(new Map([["hot", QUOTA]]), { room: 1, quota: 1 }, 0);
  const simulation = new FleetSimulation({
    scheduler,
    profiles: [requestProfile("hot", 60), requestProfile("calm", 6)],
    speeds: new Map([["x@1", 0.4], ["y@1", 0.4]]),
    seed,
  });
  simulation.run(16_000);
  return simulation;
}

/** Tokens granted to the hot organisation in windows that start each second. */
function tokensPerWindow(simulation: FleetSimulation): number[] {
  const sums: number[] = [];
  for (let from = 0; from <= 16_000 - LEEWAY.window; from += 1000) {
    const inside = simulation.grants.filter(({ at, organisation }) =>
      organisation === "hot" && at >= from && at < from + LEEWAY.window
    );
    sums.push(inside.reduce((sum, { charge }) => sum + charge, 0));
  }
  return sums;
}

t.test("an organisation gets its quota also while many of its requests wait", (t) => {
  // If charged on arrival, requests that expire use up half of the quota.
  for (const seed of [1, 2, 3]) {
    const simulation = simulate(seed);
    const sums = tokensPerWindow(simulation);
    const minimum = Math.min(...sums);
    const maximum = Math.max(...sums);
    t.comment(`in 8 s: ${minimum} to ${maximum} of ${ACCEPTED}`);
    t.ok(maximum <= ACCEPTED, `${maximum} of ${ACCEPTED}`);
    t.ok(minimum > ACCEPTED * 0.75, `${minimum} of ${ACCEPTED}`);
    const calm = simulation.results.get("calm")!;
    t.ok(calm.onTime > calm.sent * 0.75, `${calm.onTime} of ${calm.sent}`);
  }
  t.end();
});
