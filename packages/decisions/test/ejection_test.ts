import fc from "fast-check";
import t from "tap";
import { MAXIMUM_EJECTED_SHARE, OutlierEjection } from "../src/mod.ts";

function createEjection(count: number): OutlierEjection {
  const ejection = new OutlierEjection();
  for (let index = 0; index < count; index++) ejection.add(`s${index}`);
  return ejection;
}

t.test("never excludes more than the maximum share of servers", (t) => {
  const event = fc.record({
    kind: fc.constantFrom(
      "error",
      "crash",
      "timeout",
      "success",
      "slow",
      "start",
      "remove",
      "add",
    ),
    server: fc.integer({ min: 0, max: 11 }),
    wait: fc.integer({ min: 0, max: 1500 }),
  });
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 12 }),
      fc.array(event, { maxLength: 300 }),
      (size, events) => {
        const ejection = createEjection(size);
        const present = new Set<string>();
        for (let index = 0; index < size; index++) present.add(`s${index}`);
        let now = 0;
        for (const { kind, server, wait } of events) {
          now += wait;
          const name = `s${server}`;
          if (kind === "success") ejection.recordSuccess(name, now, 1);
          else if (kind === "slow") ejection.recordSuccess(name, now, 50);
          else if (kind === "start") ejection.recordStart(name, now);
          else if (kind === "add") {
            ejection.add(name);
            present.add(name);
          } else if (kind === "remove") {
            ejection.remove(name);
            present.delete(name);
          } else ejection.recordFailure(name, kind, now);
          const refused = [...present].filter((name) =>
            !ejection.allowed(name, now)
          );
          const maximum = Math.floor(present.size * MAXIMUM_EJECTED_SHARE);
          const bound = present.size < 2 ? 0 : Math.max(1, maximum);
          if (refused.length > bound || ejection.excluded.size > bound) {
            return false;
          }
        }
        return true;
      },
    ),
    { seed: 20261202, numRuns: 300 },
  );
  t.pass("no counterexample");
  t.end();
});

t.test("excludes a server that fails fast and readmits it after trials", (t) => {
  // A server that fails each request at once is always idle and gets the most.
  const ejection = createEjection(4);
  for (let now = 0; now < 30; now += 10) {
    ejection.recordFailure("s0", "error", now);
    ejection.recordSuccess("s1", now, 1);
    ejection.recordSuccess("s2", now, 1);
  }
  t.notOk(ejection.allowed("s0", 30));
  t.ok(ejection.allowed("s1", 30));
  t.ok(ejection.allowed("s0", 2100), "on trial");
  ejection.recordStart("s0", 2100);
  t.notOk(ejection.allowed("s0", 2101), "one trial request at a time");
  ejection.recordFailure("s0", "error", 2110);
  t.notOk(
    ejection.allowed("s0", 2110 + 3999),
    "the second ejection lasts twice as long",
  );
  const now = 2110 + 4000;
  for (let trial = 0; trial < 3; trial++) {
    t.ok(ejection.allowed("s0", now + trial));
    ejection.recordStart("s0", now + trial);
    ejection.recordSuccess("s0", now + trial, 1);
  }
  t.equal(ejection.excluded.size, 0);
  t.end();
});

t.test("a fault of all servers excludes none", (t) => {
  const ejection = createEjection(4);
  for (let now = 0; now < 1000; now += 10) {
    const name = `s${(now / 10) % 4}`;
    if (now % 30 === 0) ejection.recordSuccess(name, now, 1);
    else ejection.recordFailure(name, "error", now);
  }
  t.equal(ejection.excluded.size, 0);
  t.end();
});

t.test("excludes a server slower than hardware differences explain", (t) => {
  const ejection = createEjection(4);
  for (let now = 0; now < 1000; now += 10) {
    ejection.recordSuccess("s0", now, 12);
    ejection.recordSuccess("s1", now, 0.4);
    ejection.recordSuccess("s2", now, 1);
    ejection.recordSuccess("s3", now, 2.5);
  }
  t.strictSame([...ejection.excluded], ["s0"]);
  t.end();
});

t.test("each further ejection of a server that fails only under load lasts longer", (t) => {
  const ejection = createEjection(4);
  let now = 0;
  const outages: number[] = [];
  for (let round = 0; round < 3; round++) {
    for (let call = 0; call < 8; call++) {
      ejection.recordFailure("s0", "error", now);
    }
    const since = now;
    while (!ejection.allowed("s0", now)) now += 100;
    outages.push(now - since);
    for (let trial = 0; trial < 3; trial++) {
      ejection.recordStart("s0", now);
      ejection.recordSuccess("s0", now, 1);
    }
  }
  t.strictSame(outages, [2000, 4000, 8000]);
  t.end();
});
