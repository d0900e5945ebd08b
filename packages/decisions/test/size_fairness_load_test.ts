import t from "tap";
import type { Test } from "tap";
import { simulateBursts, sizeFractions } from "./overloaded_fleet.ts";
import type { SizeFractions } from "./overloaded_fleet.ts";

const SEEDS = [1, 2, 3, 4];

function checkFractions(
  t: Test,
  label: string,
  { largest, nextFifth, all }: SizeFractions,
): void {
  const fractions = [largest, nextFifth, all].map((fraction) =>
    fraction.toFixed(2)
  );
  t.comment(`${label}: ${fractions.join(" ")}`);
  t.ok(largest >= all / 2, `largest tenth ${largest} of ${all}`);
  t.ok(nextFifth >= all / 2, `next fifth ${nextFifth} of ${all}`);
}

t.test("under overload the largest requests are served at least half as often as all", (t) => {
  for (const seed of SEEDS) {
    for (const [name, calls] of simulateBursts(seed)) {
      checkFractions(t, `seed ${seed}, ${name}`, sizeFractions(calls));
    }
  }
  t.end();
});

t.test("the largest requests are served at least half as often as all when the granting entry changes", (t) => {
  const takeovers = [4800, 5900, 7500, 9900, 21_000, 22_100];
  for (const seed of SEEDS) {
    for (const [name, calls] of simulateBursts(seed, takeovers)) {
      checkFractions(t, `seed ${seed}, ${name}`, sizeFractions(calls));
    }
  }
  t.end();
});
