import t from "tap";
import { servedFraction, simulateBursts } from "./overloaded_fleet.ts";

t.test("under overload each kind of request is served at least a quarter as often as all", (t) => {
  // Guards against starving the least urgent route of a tier.
  for (const seed of [1, 2, 3, 4]) {
    const kinds = simulateBursts(seed);
    const all = servedFraction([...kinds.values()].flat());
    for (const [name, calls] of kinds) {
      const served = servedFraction(calls);
      const fractions = `${served.toFixed(2)} of ${all.toFixed(2)}`;
      t.comment(`seed ${seed}, ${name}: ${fractions}`);
      t.ok(served >= all / 4, `${name}: ${fractions}`);
    }
  }
  t.end();
});
