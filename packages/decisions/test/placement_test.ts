import fc from "fast-check";
import t from "tap";
import { BackendServerSet, ReservationPlan } from "../src/mod.ts";

const SEED = 20261202;

/** Returns a seeded generator of numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

function createSet(count: number, dataCentres = ["a", "b", "c"]) {
  const set = new BackendServerSet({ entry: "entry-1", dataCentre: "a" });
  for (let index = 0; index < count; index++) {
    const dataCentre = dataCentres[index % dataCentres.length]!;
    set.add({ name: `s${index}`, dataCentre, version: `v${index % 2}` }, 0);
  }
  return set;
}

const idle = {
  running: 0,
  waiting: 0,
  limit: 8,
  expectedWait: 0,
  healthy: true,
};

t.test("never chooses a draining, excluded or already chosen server", (t) => {
  const names = fc.array(fc.integer({ min: 0, max: 39 }), { maxLength: 30 });
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 40 }),
      names,
      names,
      fc.integer({ min: 1, max: 8 }),
      fc.option(fc.string(), { nil: undefined }),
      fc.integer(),
      (size, draining, excluded, count, prefixKey, seed) => {
        const set = createSet(size);
        for (const index of draining) set.markDraining(`s${index}`);
        // The instance list lags and still contains the draining servers.
        for (const index of draining) {
          set.add({ name: `s${index}`, dataCentre: "a" }, 1);
        }
        const exclude = new Set(excluded.map((index) => `s${index}`));
        const random = createRandom(seed);
        const now = 10_000;
        const chosen = set.choose({
          count,
          exclude,
          prefixKey,
          tierRank: 0,
          now,
          random,
        });
        const drainingNames = new Set(draining.map((index) => `s${index}`));
        return chosen.length <= count &&
          new Set(chosen).size === chosen.length &&
          chosen.every((name) =>
            !exclude.has(name) && !drainingNames.has(name)
          );
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
  t.pass("no counterexample");
  t.end();
});

t.test("chooses other data centres only when the own one is full", (t) => {
  const set = createSet(9);
  const random = createRandom(1);
  const choose = () =>
    set.choose({ count: 2, exclude: new Set(), tierRank: 0, now: 0, random });
  const ownDataCentre = new Set(["s0", "s3", "s6"]);
  for (let round = 0; round < 20; round++) {
    t.ok(choose().every((name) => ownDataCentre.has(name)));
  }
  for (const name of ownDataCentre) {
    set.observeLoad(name, { ...idle, running: 8, waiting: 9 }, 0);
  }
  for (let round = 0; round < 20; round++) {
    t.notOk(choose().some((name) => ownDataCentre.has(name)));
  }
  t.end();
});

t.test("chooses other regions only if no nearer server is left", (t) => {
  const set = new BackendServerSet({
    entry: "entry-1",
    dataCentre: "a1",
    regionOf: (dataCentre) => dataCentre.slice(0, 1),
  });
  set.add({ name: "near", dataCentre: "a2" }, 0);
  set.add({ name: "far", dataCentre: "b1" }, 0);
  const random = createRandom(1);
  const options = { count: 2, tierRank: 0, now: 0, random };
  t.strictSame(set.choose({ ...options, exclude: new Set() }), ["near"]);
  t.strictSame(
    set.choose({ ...options, exclude: new Set(["near"]) }),
    ["far"],
  );
  t.strictSame(
    set.choose({ ...options, exclude: new Set(), reach: "everywhere" }).sort(),
    ["far", "near"],
  );
  t.end();
});

t.test("a hot prefix spills over once its server is full", (t) => {
  const set = createSet(30, ["a"]);
  const random = createRandom(1);
  const choose = () =>
    set.choose({
      count: 1,
      exclude: new Set(),
      prefixKey: "catalogue",
      tierRank: 0,
      now: 0,
      random,
    });
  const [first] = choose();
  t.strictSame(choose(), [first], "the prefix stays on an idle server");
  set.observeLoad(first!, { ...idle, running: 8, waiting: 4 }, 0);
  const [second] = choose();
  t.not(second, first);
  t.strictSame(choose(), [second], "the prefix stays on the next server");
  t.end();
});

t.test("entries with different links agree on a prefix's server", (t) => {
  const [first, second] = ["entry-1", "entry-2"].map((entry) => {
    const set = new BackendServerSet({ entry, dataCentre: "a" });
    for (let index = 0; index < 200; index++) {
      set.add({ name: `s${index}`, dataCentre: "a" }, 0);
    }
    return set;
  });
  t.notSame(first!.namesToLink(), second!.namesToLink());
  t.equal(first!.namesToLink().size, 16);
  for (let key = 0; key < 50; key++) {
    const options = {
      count: 1,
      exclude: new Set<string>(),
      prefixKey: `prefix ${key}`,
      tierRank: 0,
      now: 0,
      random: createRandom(key),
    };
    t.strictSame(first!.choose(options), second!.choose(options));
  }
  t.end();
});

t.test("sheds a tier only if every candidate recently reported it", (t) => {
  // Guards against shedding while a server without a report may have capacity.
  const set = createSet(3, ["a"]);
  const full = { ...idle, lowestTierRank: 1, expectedWait: 3000 };
  set.observeLoad("s0", full, 0);
  set.observeLoad("s1", { ...full, expectedWait: 2000 }, 0);
  t.strictSame(set.shedsTier(2, 10), { sheds: false });
  set.observeLoad("s2", full, 0);
  t.strictSame(set.shedsTier(2, 10), { sheds: true, retryAfter: 2000 });
  t.strictSame(set.shedsTier(1, 10), { sheds: false });
  t.strictSame(set.shedsTier(2, 1000), { sheds: false }, "outdated reports");
  t.end();
});

t.test("chooses only servers of the requested version", (t) => {
  const set = createSet(20);
  const random = createRandom(3);
  const chosen = set.choose({
    count: 6,
    exclude: new Set(),
    version: "v1",
    tierRank: 0,
    now: 0,
    random,
  });
  t.equal(chosen.length, 6);
  t.ok(chosen.every((name) => Number(name.slice(1)) % 2 === 1));
  t.end();
});

t.test("a plan grows without a grant and replaces lost reservations", (t) => {
  const plan = new ReservationPlan({ arrived: 100 });
  t.strictSame(plan.next(100), { count: 2, reach: "dataCentre" });
  t.equal(plan.next(101).count, 0);
  t.equal(plan.nextAt, 104);
  t.strictSame(plan.next(104), { count: 2, reach: "region" });
  plan.markLost(2);
  t.equal(plan.next(105).count, 2);
  t.equal(plan.next(112).count, 2);
  for (let round = 0; round < 20; round++) {
    plan.markLost(10);
    plan.next(400);
  }
  plan.markLost(10);
  t.ok(plan.exhausted);
  t.end();
});

t.test("a prefix stays on its servers if all servers are equally full", (t) => {
  // Guards against repeated prefill just when every engine has a queue.
  const set = createSet(30, ["a"]);
  const choose = () =>
    set.choose({
      count: 2,
      exclude: new Set(),
      prefixKey: "catalogue",
      tierRank: 0,
      now: 0,
      random: createRandom(1),
    });
  const preferred = choose();
  for (let round = 0; round < 5; round++) {
    for (let index = 0; index < 30; index++) {
      set.observeLoad(`s${index}`, { ...idle, running: 8, waiting: 20 }, 0);
    }
  }
  t.strictSame(choose(), preferred);
  set.observeLoad(preferred[0]!, { ...idle, running: 8, waiting: 60 }, 0);
  t.notOk(
    choose().includes(preferred[0]!),
    "the prefix leaves a fuller server",
  );
  t.end();
});
