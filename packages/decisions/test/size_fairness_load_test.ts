import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { serverRecord } from "./server_record.ts";
import { VirtualFleet } from "./fleet_simulation.ts";
import type { Call, LoadKind } from "./fleet_simulation.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 1e9 };
const SPEEDS = new Map([
  ["u@1", 0.55],
  ["v@1", 0.55],
  ["w@1", 1],
  ["x@1", 1],
  ["y@1", 2.8],
  ["z@1", 2.8],
]);
const DAY = 34_000;

const COMMON = { service: "assistant", tierRank: 0, patience: 2000 };
const USUAL = [
  {
    ...COMMON,
    name: "summary",
    routeRank: 0,
    perSecond: 18,
    goal: 600,
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
    goal: 300,
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
    goal: 400,
    deadline: 3000,
    prompt: 800,
    output: 10,
    spread: 1.3,
  },
];

function inBurst(now: number): boolean {
  return now > 2000 && now < 14_000 || now > 18_000 && now < 30_000;
}

function kindsOf(organisation: string, part: number, times: number) {
  return USUAL.map(({ perSecond, ...kind }): LoadKind => ({
    ...kind,
    name: `${organisation} ${kind.name}`,
    organisation,
    rate: (now) => perSecond * part * (inBurst(now) ? times : 1),
  }));
}

function play(seed: number): VirtualFleet {
  const desk = new GroupScheduler(LEEWAY);
  const names = [...SPEEDS.keys()].map((name) => name.slice(0, 1));
  desk.setServers(names.map((id) => serverRecord(id, { slots: 16 })));
  const kinds = [...kindsOf("busy", 0.35, 8), ...kindsOf("calm", 0.65, 1)];
  const fleet = new VirtualFleet({ desk, kinds, speeds: SPEEDS, seed });
  fleet.play(DAY);
  return fleet;
}

function servedFraction(calls: readonly Call[]): number {
  return calls.filter(({ outcome }) => outcome.served).length / calls.length;
}

function sizeOf({ cost }: Call): number {
  return cost.promptTokens + 10 * cost.outputTokens;
}

t.test("overload: the largest of a kind are served half as often as all", (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const { requests } = play(seed);
    for (const { name } of USUAL) {
      const calls = requests
        .filter(({ kind }) => kind.name.endsWith(name))
        .sort((one, other) => sizeOf(other) - sizeOf(one));
      const tenth = Math.ceil(calls.length / 10);
      const all = servedFraction(calls);
      const largest = servedFraction(calls.slice(0, tenth));
      const nextFifth = servedFraction(calls.slice(tenth, 3 * tenth));
      const said = [largest, nextFifth, all].map((part) => part.toFixed(2));
      t.comment(`seed ${seed}, ${name}: ${said.join(" ")}`);
      t.ok(largest >= all / 2, `largest tenth ${largest} of ${all}`);
      t.ok(nextFifth >= all / 2, `next fifth ${nextFifth} of ${all}`);
    }
  }
  t.end();
});
