import t from "tap";
import { selectGrantingEntry, WatchTimeouts } from "../src/mod.ts";

t.test("the entry with the most processor time becomes the granting entry", (t) => {
  // A weak granting entry made 10,795 requests a day miss their deadlines.
  const entry = (name: string, processors: number) => ({ name, processors });
  const weak = ["a", "b", "c", "d"].map((name) => entry(name, 0.243));
  const strong = [entry("x", 1.35), entry("y", 1.35)];
  const chosen = selectGrantingEntry([...weak, ...strong]);
  t.ok(chosen === "x" || chosen === "y");
  t.equal(
    selectGrantingEntry([...strong, ...weak].reverse()),
    chosen,
    "independent of the order",
  );
  t.equal(selectGrantingEntry(weak.slice(0, 1)), "a");
  t.equal(selectGrantingEntry([]), undefined);
  t.end();
});

t.test("equal entries become the granting entry in different fleets", (t) => {
  const chosen = new Set<string | undefined>();
  for (let fleet = 0; fleet < 40; fleet++) {
    const candidates = [0, 1, 2].map((index) => ({
      name: `entry-${fleet}-${index}`,
      processors: 0.5,
    }));
    chosen.add(selectGrantingEntry(candidates)?.slice(-1));
  }
  t.same([...chosen].sort(), ["0", "1", "2"]);
  t.end();
});

const SHORTEST = 2000;

t.test("after each change one entry's watch has the shortest timeout", (t) => {
  // If all timeouts were long, a silent connection would hide removed keys.
  for (const size of [1, 2, 3, 21, 300]) {
    const all = Array.from({ length: size }, () => new WatchTimeouts(SHORTEST));
    for (let change = 0; change < 30; change++) {
      const values = all.map((timeouts, rank) =>
        timeouts.nextTimeout({ rank, size })
      );
      t.equal(Math.min(...values), SHORTEST);
    }
  }
  t.end();
});

t.test("the rate of watch calls does not grow until timeouts reach their maximum", (t) => {
  // Store calls cost money: at 2 s each, 21 entries made 2,452 calls a minute.
  const callsPerSecond = (size: number) => {
    let calls = 0;
    for (let rank = 0; rank < size; rank++) {
      const timeouts = new WatchTimeouts(SHORTEST);
      let elapsed = 0;
      for (let turn = 0; turn < size; turn++) {
        elapsed += timeouts.nextTimeout({ rank, size });
      }
      calls += size / elapsed * 1000;
    }
    return calls;
  };
  t.ok(callsPerSecond(3) < 0.8, "1.5 if each timeout is 2 s");
  t.ok(callsPerSecond(8) < 1, "4 if each timeout is 2 s");
  t.ok(callsPerSecond(21) < 2, "10 if each timeout is 2 s");
  t.end();
});
