import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { serverRecord } from "./server_record.ts";
import { FleetSimulation } from "./fleet_simulation.ts";
import type { ProfileResult, RequestProfile } from "./fleet_simulation.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 1e9 };
/** Speed factors of the engines, by server incarnation. */
const SPEEDS = new Map([["x@1", 0.6], ["y@1", 1], ["z@1", 2]]);

const COMMON = {
  service: "assistant",
  tierRank: 0,
  organisation: "firm",
  maximumWait: 2000,
};
const burstRate = (usual: number) => (now: number) =>
  now > 2000 && now < 10_000 ? usual * 2 : usual;
const PROFILES: RequestProfile[] = [
  {
    ...COMMON,
    name: "summary",
    routeRank: 0,
    rate: burstRate(9),
    latencyGoal: 600,
    deadline: 15_000,
    prompt: 2500,
    output: 130,
    spread: 1.3,
  },
  {
    ...COMMON,
    name: "notes",
    routeRank: 1,
    rate: burstRate(17),
    latencyGoal: 300,
    deadline: 12_000,
    prompt: 400,
    output: 110,
    spread: 1.2,
  },
  {
    ...COMMON,
    name: "answer",
    routeRank: 2,
    rate: burstRate(15),
    latencyGoal: 400,
    deadline: 3000,
    prompt: 800,
    output: 10,
    spread: 1.2,
  },
];

function simulate(seed: number): Map<string, ProfileResult> {
  const scheduler = new GroupScheduler(LEEWAY);
  scheduler.setServers(
    ["x", "y", "z"].map((id) => serverRecord(id, { slots: 16 })),
    0,
  );
  const simulation = new FleetSimulation({
    scheduler,
    profiles: PROFILES,
    speeds: SPEEDS,
    seed,
  });
  simulation.run(14_000);
  return simulation.results;
}

function servedFraction({ sent, onTime, late }: ProfileResult): number {
  return (onTime + late) / sent;
}

t.test("in a burst, more urgent routes are served no less often than others", (t) => {
  // Ordered by time alone, the most urgent route is refused at twice the load.
  for (const seed of [1, 2, 3]) {
    const results = simulate(seed);
    const [summary, notes, answer] = [...results.values()].map(servedFraction);
    t.comment(`served: ${summary}, ${notes}, ${answer}`);
    t.ok(summary! >= notes! - 0.05, `${summary} against ${notes}`);
    t.ok(notes! >= answer! - 0.05, `${notes} against ${answer}`);
    t.ok(summary! > 0.8, `${summary} of all summaries`);
  }
  t.end();
});
