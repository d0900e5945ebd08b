import t from "tap";
import { selectGrantingEntry, WatchTimeouts } from "../src/mod.ts";

t.test("the entry with the most processor time grants", (t) => {
  // Instances differ by a factor of five. Where a hash alone chose, an instance
  // with a quarter of a core granted for 25 in a burst of 3,000 requests a second:
  // it answered 1.5 s late, 10,795 tries of a day ended at their callers' own
  // deadline, and plain calls waited behind them with their servers idle.
  const entry = (name: string, processors: number) => ({ name, processors });
  const weak = ["a", "b", "c", "d"].map((name) => entry(name, 0.243));
  const strong = [entry("x", 1.35), entry("y", 1.35)];
  const chosen = selectGrantingEntry([...weak, ...strong]);
  t.ok(chosen === "x" || chosen === "y");
  t.equal(
    selectGrantingEntry([...strong, ...weak].reverse()),
    chosen,
    "by any order",
  );
  t.equal(selectGrantingEntry(weak.slice(0, 1)), "a");
  t.equal(selectGrantingEntry([]), undefined);
  t.end();
});

t.test("of entries alike each grants for some fleets", (t) => {
  const chosen = new Set<string | undefined>();
  for (let fleet = 0; fleet < 40; fleet++) {
    const able = [0, 1, 2].map((index) => ({
      name: `entry-${fleet}-${index}`,
      processors: 0.5,
    }));
    chosen.add(selectGrantingEntry(able)?.slice(-1));
  }
  t.same([...chosen].sort(), ["0", "1", "2"]);
  t.end();
});

const SHORTEST = 2000;

t.test("after any change some entry's watch ends soon", (t) => {
  // All connections to the store go silent at once, just as a change woke every
  // watch. If all waited long, keys that were taken away stayed good for as long.
  for (const size of [1, 2, 3, 21, 300]) {
    const all = Array.from({ length: size }, () => new WatchTimeouts(SHORTEST));
    for (let change = 0; change < 30; change++) {
      const waits = all.map((turns, rank) => turns.nextTimeout({ rank, size }));
      t.equal(Math.min(...waits), SHORTEST);
    }
  }
  t.end();
});

t.test("watches don't grow with the fleet until they are as long as may be", (t) => {
  // Each call to the store has a price. With the same short wait everywhere 21
  // entries made 2,452 calls in a calm minute, most of all that the day cost.
  const callsASecond = (size: number) => {
    let calls = 0;
    for (let rank = 0; rank < size; rank++) {
      const turns = new WatchTimeouts(SHORTEST);
      let spent = 0;
      for (let turn = 0; turn < size; turn++) {
        spent += turns.nextTimeout({ rank, size });
      }
      calls += size / spent * 1000;
    }
    return calls;
  };
  t.ok(callsASecond(3) < 0.8, "1.5 where each waits 2 s");
  t.ok(callsASecond(8) < 1, "4 where each waits 2 s");
  t.ok(callsASecond(21) < 2, "10 where each waits 2 s");
  t.end();
});
