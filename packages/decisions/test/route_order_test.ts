import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { serverRecord } from "./server_record.ts";
import { VirtualFleet } from "./fleet_simulation.ts";
import type { LoadKind, LoadResult } from "./fleet_simulation.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 1e9 };
const SPEEDS = new Map([["x@1", 0.6], ["y@1", 1], ["z@1", 2]]);

const COMMON = {
  service: "assistant",
  tierRank: 0,
  organisation: "firm",
  patience: 2000,
};
const burst = (usual: number) => (now: number) =>
  now > 2000 && now < 10_000 ? usual * 2 : usual;
const KINDS: LoadKind[] = [
  {
    ...COMMON,
    name: "summary",
    routeRank: 0,
    rate: burst(9),
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
    rate: burst(17),
    goal: 300,
    deadline: 12_000,
    prompt: 400,
    output: 110,
    spread: 1.2,
  },
  {
    ...COMMON,
    name: "answer",
    routeRank: 2,
    rate: burst(15),
    goal: 400,
    deadline: 3000,
    prompt: 800,
    output: 10,
    spread: 1.2,
  },
];

function play(seed: number): Map<string, LoadResult> {
  const desk = new GroupScheduler(LEEWAY);
  desk.setServers(
    ["x", "y", "z"].map((id) => serverRecord(id, { slots: 16 })),
  );
  const fleet = new VirtualFleet({ desk, kinds: KINDS, speeds: SPEEDS, seed });
  fleet.play(14_000);
  return fleet.results;
}

function servedPart({ asked, onTime, late }: LoadResult): number {
  return (onTime + late) / asked;
}

t.test("a burst: summaries are not served less often than quick answers", (t) => {
  // All organisations have the same rank, and it goes before the routes'. The
  // three kinds of one service then were one tier, ordered by time alone: in a
  // burst of twice the usual the users' most important answers, which are the
  // longest, were refused while nearly all of the least important were served.
  for (const seed of [1, 2, 3]) {
    const results = play(seed);
    const [summary, notes, answer] = [...results.values()].map(servedPart);
    t.comment(`served: ${summary}, ${notes}, ${answer}`);
    t.ok(summary! >= notes! - 0.05, `${summary} against ${notes}`);
    t.ok(notes! >= answer! - 0.05, `${notes} against ${answer}`);
    t.ok(summary! > 0.8, `${summary} of all summaries`);
  }
  t.end();
});
