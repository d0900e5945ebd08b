import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { serverRecord } from "./server_record.ts";
import { FleetSimulation } from "./fleet_simulation.ts";
import type { Call, RequestProfile } from "./fleet_simulation.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 1e9 };
/** Speed factors of the engines, by server incarnation. */
const SPEEDS = new Map([
  ["u@1", 0.55],
  ["v@1", 0.55],
  ["w@1", 1],
  ["x@1", 1],
  ["y@1", 2.8],
  ["z@1", 2.8],
]);
/** Simulated milliseconds. */
const DURATION = 34_000;

const COMMON = { service: "assistant", tierRank: 0, maximumWait: 2000 };
const PROFILES = [
  {
    ...COMMON,
    name: "summary",
    routeRank: 0,
    perSecond: 18,
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
    perSecond: 33,
    latencyGoal: 300,
    deadline: 12_000,
    prompt: 400,
    output: 110,
    spread: 1.3,
  },
  {
    ...COMMON,
    name: "answer",
    routeRank: 2,
    perSecond: 29,
    latencyGoal: 400,
    deadline: 3000,
    prompt: 800,
    output: 10,
    spread: 1.3,
  },
];

function inBurst(now: number): boolean {
  return now > 2000 && now < 14_000 || now > 18_000 && now < 30_000;
}

function profilesOf(
  organisation: string,
  fraction: number,
  burstFactor: number,
) {
  return PROFILES.map(({ perSecond, ...profile }): RequestProfile => ({
    ...profile,
    name: `${organisation} ${profile.name}`,
    organisation,
    rate: (now) => perSecond * fraction * (inBurst(now) ? burstFactor : 1),
  }));
}

function simulate(seed: number): FleetSimulation {
  const scheduler = new GroupScheduler(LEEWAY);
  const names = [...SPEEDS.keys()].map((name) => name.slice(0, 1));
  scheduler.setServers(names.map((id) => serverRecord(id, { slots: 16 })));
  const profiles = [
    ...profilesOf("busy", 0.35, 8),
    ...profilesOf("calm", 0.65, 1),
  ];
  const simulation = new FleetSimulation({
    scheduler,
    profiles,
    speeds: SPEEDS,
    seed,
  });
  simulation.run(DURATION);
  return simulation;
}

function servedFraction(calls: readonly Call[]): number {
  return calls.filter(({ outcome }) => outcome.served).length / calls.length;
}

function weightedTokens({ cost }: Call): number {
  return cost.promptTokens + 10 * cost.outputTokens;
}

t.test("under overload the largest requests are served at least half as often as all", (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const { requests } = simulate(seed);
    for (const { name } of PROFILES) {
      const calls = requests
        .filter(({ profile }) => profile.name.endsWith(name))
        .sort((one, other) => weightedTokens(other) - weightedTokens(one));
      const tenth = Math.ceil(calls.length / 10);
      const all = servedFraction(calls);
      const largest = servedFraction(calls.slice(0, tenth));
      const nextFifth = servedFraction(calls.slice(tenth, 3 * tenth));
      const fractions = [largest, nextFifth, all].map((fraction) =>
        fraction.toFixed(2)
      );
      t.comment(`seed ${seed}, ${name}: ${fractions.join(" ")}`);
      t.ok(largest >= all / 2, `largest tenth ${largest} of ${all}`);
      t.ok(nextFifth >= all / 2, `next fifth ${nextFifth} of ${all}`);
    }
  }
  t.end();
});
