import fc from "fast-check";
import t from "tap";
import {
  EvidenceCollector,
  mergeEvidence,
  MoveJudge,
  trialRequestsPerEntry,
  VersionSplit,
} from "../src/mod.ts";
import { createRandom, evidence } from "./move_fixtures.ts";

t.test("three failures that only the new version has reject it", (t) => {
  const judge = new MoveJudge();
  for (let second = 0; second < 3; second++) {
    t.equal(judge.verdict.kind, "undecided");
    judge.observe([
      evidence("chat", [49, 0, 5], [1, 1, 0]),
      evidence("tags", [49, 0, 5], [1, 0, 0]),
    ], second * 1000);
  }
  t.match(judge.verdict, { kind: "bad", route: "chat", reason: "failures" });
  t.end();
});

t.test("a fault that affects both versions does not reject the new one", (t) => {
  // A stalled weight store fails both versions; the new one is not to blame.
  const judge = new MoveJudge();
  const random = createRandom(7);
  for (let second = 0; second < 600; second++) {
    const [failing, slow] = second < 100 ? [0.001, 0.1] : [0.33, 0.8];
    const counts = (calls: number): [number, number, number] => {
      const countEvents = (share: number) =>
        Array.from({ length: calls }, random).filter((x) => x < share).length;
      return [calls, countEvents(failing), countEvents(slow)];
    };
    judge.observe([evidence("chat", counts(40), counts(4))], second * 1000);
  }
  t.equal(judge.verdict.kind, "undecided");
  t.end();
});

t.test("a version that turns slow after an hour is rejected within seconds", (t) => {
  const judge = new MoveJudge();
  let second = 0;
  for (; second < 3600; second++) {
    judge.observe([evidence("chat", [20, 0, 2], [20, 0, 2])], second * 1000);
  }
  t.equal(judge.verdict.kind, "undecided");
  while (judge.verdict.kind === "undecided" && second < 3700) {
    judge.observe([evidence("chat", [20, 0, 2], [20, 0, 14])], second * 1000);
    second++;
  }
  t.match(judge.verdict, { kind: "bad", reason: "slowness" });
  t.ok(second - 3600 <= 8, `${second - 3600} s`);
  t.end();
});

t.test("with little traffic a call is compared with the old version's last minute", (t) => {
  const judge = new MoveJudge();
  for (let second = 0; second < 400; second++) {
    const to: [number, number, number] = second % 100 === 99
      ? [1, 1, 0]
      : [0, 0, 0];
    judge.observe([evidence("quote", [1, 0, 0], to)], second * 1000);
  }
  t.equal(judge.newVersionCalls, 4);
  t.equal(judge.verdict.kind, "bad");
  t.end();
});

function judgeOfStrata(): MoveJudge {
  return new MoveJudge({
    maximumInterval: { withoutNew: 5000, withoutOld: 300 },
    minimumBaseline: 10,
    widerReference: { strata: 1000, routes: 5000 },
    warmUpCalls: 0,
  });
}

t.test("a stratum without the old version is compared with the others", (t) => {
  for (const [failed, slow] of [[0, 0], [1, 0], [0, 1]]) {
    const judge = judgeOfStrata();
    for (let now = 0; now < 10_000; now += 100) {
      judge.observe([
        { ...evidence("chat", [5, 0, 0], [0, 0, 0]), stratum: "a" },
        { ...evidence("chat", [0, 0, 0], [1, failed!, slow!]), stratum: "b" },
      ], now);
    }
    t.equal(judge.verdict.kind, failed! + slow! > 0 ? "bad" : "undecided");
    t.equal(judge.uncomparedCalls.ended, 0);
  }
  t.end();
});

t.test("a fault of both versions in different strata does not reject the new one", (t) => {
  const judge = judgeOfStrata();
  for (let now = 0; now < 20_000; now += 100) {
    const failed = now < 10_000 ? 0 : 1;
    judge.observe([
      { ...evidence("chat", [9, 3 * failed, 0], [0, 0, 0]), stratum: "a" },
      { ...evidence("chat", [0, 0, 0], [3, failed, 0]), stratum: "b" },
    ], now);
  }
  t.equal(judge.verdict.kind, "undecided");
  t.end();
});

t.test("a route without the old version is compared with other routes by failures", (t) => {
  for (const [failed, slow] of [[1, 0], [0, 1]]) {
    const judge = judgeOfStrata();
    for (let now = 0; now < 20_000; now += 100) {
      judge.observe([
        evidence("chat", [5, 0, 0], [0, 0, 0]),
        evidence("tags", [0, 0, 0], [1, failed!, slow!]),
      ], now);
    }
    t.equal(judge.verdict.kind, failed === 1 ? "bad" : "undecided");
  }
  t.end();
});

t.test("calls that can't be compared with any are counted", (t) => {
  const judge = judgeOfStrata();
  for (let now = 0; now <= 6000; now += 100) {
    judge.observe([evidence("chat", [0, 0, 0], [1, 1, 0])], now);
  }
  t.equal(judge.verdict.kind, "undecided");
  t.strictSame(judge.uncomparedCalls, { ended: 61, failed: 61, slow: 0 });
  t.end();
});

t.test("a call in an unknown stratum is slow only beyond a further factor", (t) => {
  const collector = new EvidenceCollector({ unknownStratumFactor: 2 });
  const call = { route: "chat", failed: false, stratum: "a" };
  collector.recordCall({ ...call, side: "from", slowness: 1 });
  t.ok(collector.isSlow(call, 1.5));
  t.notOk(collector.isSlow({ ...call, stratum: "b" }, 1.5));
  t.ok(collector.isSlow({ ...call, stratum: "b" }, 2.5));
  t.end();
});

t.test("a stratum that is slower by itself raises the threshold there", (t) => {
  const collector = new EvidenceCollector({ unknownStratumFactor: 2 });
  const isSlow = (stratum: string) =>
    collector.isSlow({ route: "chat", stratum }, 1.4);
  for (let call = 0; call < 40; call++) {
    const common = { route: "chat", failed: false };
    collector.recordCall({
      ...common,
      side: "from",
      stratum: "a",
      slowness: 1,
    });
    collector.recordCall({
      ...common,
      side: "to",
      stratum: "slower",
      slowness: 1.5,
    });
    collector.recordCall({
      ...common,
      side: "to",
      stratum: "alike",
      slowness: call % 2 === 0 ? 1 : 5,
    });
  }
  t.notOk(isSlow("slower"));
  t.ok(isSlow("alike"));
  t.end();
});

t.test("good versions are rarely rejected", (t) => {
  // 300 moves of 2000 s; 10 calls a second on each route, one in fifty fails.
  const random = createRandom(11);
  const countEvents = (calls: number, share: number) => {
    let count = 0;
    for (let call = 0; call < calls; call++) if (random() < share) count++;
    return count;
  };
  let rejected = 0;
  for (let move = 0; move < 300; move++) {
    const judge = new MoveJudge();
    for (let second = 0; second < 2000; second += 10) {
      const share = second < 500 ? 0.02 : second < 1000 ? 0.25 : 0.5;
      judge.observe(
        ["chat", "tags"].map((route) => {
          const to = countEvents(100, share);
          const from = 100 - to;
          return evidence(
            route,
            [from, countEvents(from, 0.02), countEvents(from, 0.1)],
            [to, countEvents(to, 0.02), countEvents(to, 0.13)],
          );
        }),
        second * 1000,
      );
    }
    if (judge.verdict.kind === "bad") rejected++;
  }
  t.ok(rejected <= 3, `${rejected} of 300`);
  t.end();
});

t.test("a call above the old version's threshold counts as slow", (t) => {
  const collector = new EvidenceCollector();
  for (let call = 0; call < 500; call++) {
    const slowness = 1 + (call % 10) / 10;
    collector.recordCall({
      route: "chat",
      side: "from",
      failed: false,
      slowness,
    });
  }
  collector.flush();
  collector.recordCall({
    route: "chat",
    side: "to",
    failed: false,
    slowness: 4,
  });
  collector.recordCall({
    route: "chat",
    side: "to",
    failed: false,
    slowness: 1,
  });
  collector.recordCall({ route: "chat", side: "to", failed: true });
  const [flushed] = collector.flush();
  t.strictSame(flushed?.to, { ended: 3, failed: 1, slow: 1 });
  t.strictSame(collector.flush(), []);
  const merged = mergeEvidence([flushed!, flushed!]);
  t.strictSame(merged[0]?.to, { ended: 6, failed: 2, slow: 2 });
  t.end();
});

t.test("a split keeps to its share, request limit and limit of calls in flight", (t) => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 1, noNaN: true }),
      fc.integer({ min: 1, max: 50 }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      fc.array(fc.boolean(), { maxLength: 400 }),
      (share, trialRequests, remainder, ends) => {
        const split = new VersionSplit(remainder);
        split.setBounds({ share, trialRequests });
        let unended = 0;
        let requests = 0;
        for (const end of ends) {
          requests++;
          if (split.choose() === "to") unended++;
          if (end && unended > 0) {
            split.recordEnd();
            unended--;
          }
          if (unended > 8 || split.sent > trialRequests) return false;
          if (split.sent > share * requests + 1) return false;
        }
        return true;
      },
    ),
    { seed: 20261202, numRuns: 300 },
  );
  const split = new VersionSplit(0);
  split.setBounds({ share: 0.1 });
  for (let request = 0; request < 1000; request++) split.choose();
  t.ok(Math.abs(split.sent - 100) <= 1);
  split.stop();
  split.setBounds({ share: 1 });
  t.equal(split.choose(), "from", "stopped on the entry's own evidence");
  t.equal(trialRequestsPerEntry(200, 330), 1);
  t.end();
});
