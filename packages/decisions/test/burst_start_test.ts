import t from "tap";
import { BURSTS, simulateBursts, sizeFractions } from "./overloaded_fleet.ts";
import type { Call } from "./fleet_simulation.ts";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Milliseconds from the start of a burst. */
const BURST_START = 3000;

function isAtBurstStart(arrivedAt: number): boolean {
  return BURSTS.some(([start]) =>
    arrivedAt > start && arrivedAt < start + BURST_START
  );
}

t.test("the largest requests are served at least half as often as all from the start of a burst", (t) => {
  // Guards against an order of the queue that follows the overload too slowly.
  const calls = new Map<string, Call[]>();
  for (const seed of SEEDS) {
    for (const [name, ofSeed] of simulateBursts(seed)) {
      calls.set(name, [...calls.get(name) ?? [], ...ofSeed]);
    }
  }
  for (const [name, ofKind] of calls) {
    const { largest, nextFifth, all } = sizeFractions(ofKind, isAtBurstStart);
    const fractions = [largest, nextFifth, all].map((fraction) =>
      fraction.toFixed(2)
    );
    t.comment(`${name}: ${fractions.join(" ")}`);
    t.ok(largest >= all / 2, `${name}: largest tenth ${largest} of ${all}`);
    t.ok(nextFifth >= all / 2, `${name}: next fifth ${nextFifth} of ${all}`);
  }
  t.end();
});
