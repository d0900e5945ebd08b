import fc from "fast-check";
import t from "tap";
import {
  COMPLETION_GUARD,
  endInForce,
  EvidenceTally,
  mergeEvidence,
  MoveJudge,
  moveRecordSchema,
  nextStep,
  shareInForce,
  trialRequestsOfEntry,
  VersionHold,
  VersionSplit,
} from "../src/mod.ts";
import type { MoveFacts, MoveRecord, RouteEvidence } from "../src/mod.ts";
import * as v from "valibot";

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

function evidence(
  route: string,
  from: [ended: number, failed: number, slow: number],
  to: [ended: number, failed: number, slow: number],
): RouteEvidence {
  const counts = ([ended, failed, slow]: [number, number, number]) => ({
    ended,
    failed,
    slow,
  });
  return { route, from: counts(from), to: counts(to) };
}

const record: MoveRecord = {
  move: "assistant-2",
  service: "assistant",
  from: "v1",
  to: "v2",
  deadline: 620_000,
  trialShare: 0.02,
  trialRequests: 200,
  phase: "pending",
  share: 0,
  step: 0,
  since: 0,
  fencing: 1,
  endedBefore: 0,
  evidence: [],
};

function factsWith(ended: number, room = 1): MoveFacts {
  return {
    verdict: { kind: "open" },
    evidence: [evidence("chat", [1000, 0, 0], [ended, 0, 0])],
    room,
  };
}

t.test("three failures of the new version alone condemn it", (t) => {
  const judge = new MoveJudge();
  for (let second = 0; second < 3; second++) {
    t.equal(judge.verdict.kind, "open");
    judge.observe([
      evidence("chat", [49, 0, 5], [1, 1, 0]),
      evidence("tags", [49, 0, 5], [1, 0, 0]),
    ], second * 1000);
  }
  t.match(judge.verdict, { kind: "bad", route: "chat", reason: "failures" });
  t.end();
});

t.test("a trouble that both versions share condemns neither", (t) => {
  // The engines' weight store stalls while a good version is on trial: a third
  // of all calls fail and most are slow, on both versions alike. A threshold
  // on errors takes the good version back.
  const judge = new MoveJudge();
  const random = createRandom(7);
  for (let second = 0; second < 600; second++) {
    const [failing, slow] = second < 100 ? [0.001, 0.1] : [0.33, 0.8];
    const of = (calls: number): [number, number, number] => {
      const hits = (share: number) =>
        Array.from({ length: calls }, random).filter((x) => x < share).length;
      return [calls, hits(failing), hits(slow)];
    };
    judge.observe([evidence("chat", of(40), of(4))], second * 1000);
  }
  t.equal(judge.verdict.kind, "open");
  t.end();
});

t.test("a version that turns slow after an hour is found in seconds", (t) => {
  const judge = new MoveJudge();
  let second = 0;
  for (; second < 3600; second++) {
    judge.observe([evidence("chat", [20, 0, 2], [20, 0, 2])], second * 1000);
  }
  t.equal(judge.verdict.kind, "open");
  while (judge.verdict.kind === "open" && second < 3700) {
    judge.observe([evidence("chat", [20, 0, 2], [20, 0, 14])], second * 1000);
    second++;
  }
  t.match(judge.verdict, { kind: "bad", reason: "slowness" });
  t.ok(second - 3600 <= 8, `${second - 3600} s`);
  t.end();
});

t.test("little traffic weighs a call against the old version's minute", (t) => {
  const judge = new MoveJudge();
  for (let second = 0; second < 400; second++) {
    const to: [number, number, number] = second % 100 === 99
      ? [1, 1, 0]
      : [0, 0, 0];
    judge.observe([evidence("quote", [1, 0, 0], to)], second * 1000);
  }
  t.equal(judge.endedOnNew, 4);
  t.equal(judge.verdict.kind, "bad");
  t.end();
});

t.test("good versions are rarely condemned", (t) => {
  // Sizes of the trial: 300 moves, each of 2000 s at 10 calls a second on each
  // of two routes, one call in fifty failing on both versions.
  const random = createRandom(11);
  const hits = (calls: number, share: number) => {
    let count = 0;
    for (let call = 0; call < calls; call++) if (random() < share) count++;
    return count;
  };
  let condemned = 0;
  for (let move = 0; move < 300; move++) {
    const judge = new MoveJudge();
    for (let second = 0; second < 2000; second += 10) {
      const share = second < 500 ? 0.02 : second < 1000 ? 0.25 : 0.5;
      judge.observe(
        ["chat", "tags"].map((route) => {
          const to = hits(100, share);
          const from = 100 - to;
          return evidence(
            route,
            [from, hits(from, 0.02), hits(from, 0.1)],
            [to, hits(to, 0.02), hits(to, 0.13)],
          );
        }),
        second * 1000,
      );
    }
    if (judge.verdict.kind === "bad") condemned++;
  }
  t.ok(condemned <= 3, `${condemned} of 300`);
  t.end();
});

t.test("a slow call is one over the old version's threshold", (t) => {
  const tally = new EvidenceTally();
  for (let call = 0; call < 500; call++) {
    const slowness = 1 + (call % 10) / 10;
    tally.ended({ route: "chat", side: "from", failed: false, slowness });
  }
  tally.take();
  tally.ended({ route: "chat", side: "to", failed: false, slowness: 4 });
  tally.ended({ route: "chat", side: "to", failed: false, slowness: 1 });
  tally.ended({ route: "chat", side: "to", failed: true });
  const [taken] = tally.take();
  t.strictSame(taken?.to, { ended: 3, failed: 1, slow: 1 });
  t.strictSame(tally.take(), []);
  const merged = mergeEvidence([taken!, taken!]);
  t.strictSame(merged[0]?.to, { ended: 6, failed: 2, slow: 2 });
  t.end();
});

t.test("a split keeps its share, its count and what has not ended", (t) => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 1, noNaN: true }),
      fc.integer({ min: 1, max: 50 }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      fc.array(fc.boolean(), { maxLength: 400 }),
      (share, trialRequests, remainder, ends) => {
        const split = new VersionSplit(remainder);
        split.update({ share, trialRequests });
        let unended = 0;
        let requests = 0;
        for (const end of ends) {
          requests++;
          if (split.choose() === "to") unended++;
          if (end && unended > 0) {
            split.ended();
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
  split.update({ share: 0.1 });
  for (let request = 0; request < 1000; request++) split.choose();
  t.ok(Math.abs(split.sent - 100) <= 1);
  split.stop();
  split.update({ share: 1 });
  t.equal(split.choose(), "from", "stopped before any record says so");
  t.equal(trialRequestsOfEntry(200, 330), 1);
  t.end();
});

t.test("a good version completes step by step before the guard", (t) => {
  let current = record;
  const shares: number[] = [];
  for (let now = 0; now < record.deadline; now += 1000) {
    const next = nextStep(current, factsWith(now / 100), now);
    if (next === undefined) continue;
    t.ok(v.is(moveRecordSchema, next));
    shares.push(next.share);
    current = next;
  }
  t.strictSame(shares, [0.02, 0.1, 0.25, 0.5, 1]);
  t.equal(current.phase, "complete");
  t.ok(current.since <= record.deadline - COMPLETION_GUARD);
  t.end();
});

t.test("little traffic completes on time with the evidence there is", (t) => {
  let current = record;
  for (let now = 0; now < record.deadline; now += 1000) {
    const ended = Math.floor(now / 60_000);
    current = nextStep(current, factsWith(ended), now) ?? current;
  }
  t.equal(current.phase, "complete");
  t.end();
});

t.test("a bad version is taken back and nothing follows", (t) => {
  const bad: MoveFacts = {
    ...factsWith(10),
    verdict: {
      kind: "bad",
      route: "chat",
      reason: "failures",
      from: { ended: 1, failed: 0, slow: 0 },
      to: { ended: 3, failed: 3, slow: 0 },
    },
  };
  const trial = nextStep(record, factsWith(0), 0)!;
  const ended = nextStep(trial, bad, 1000)!;
  t.match(ended, { phase: "takenBack", share: 0, reason: "failures" });
  t.equal(nextStep(ended, factsWith(1000), 2000), undefined);
  t.end();
});

t.test("missing room or evidence takes a move back at the guard", (t) => {
  const late = record.deadline - COMPLETION_GUARD + 1;
  const withoutRoom = factsWith(0, 0);
  t.equal(nextStep(record, withoutRoom, late - 1), undefined);
  t.match(nextStep(record, withoutRoom, late), { reason: "no_room" });
  const trial = nextStep(record, factsWith(0), 0)!;
  t.match(nextStep(trial, factsWith(0), late), { reason: "no_evidence" });
  t.match(nextStep(trial, factsWith(5), late), { reason: "deadline" });
  t.end();
});

t.test("an outage over the deadline ends the move alike everywhere", (t) => {
  // The key-value service goes down while a move is at a quarter. Its driver
  // cannot write, some entries hold an older copy, and the deadline passes.
  // Without a rule each process would go on with the share that it last read.
  const trial = nextStep(record, factsWith(0), 0)!;
  const raising: MoveRecord = { ...trial, phase: "raising", share: 0.25 };
  for (const copy of [record, trial, raising]) {
    t.equal(endInForce(copy, record.deadline - 1), "running");
    t.equal(endInForce(copy, record.deadline), "takenBack");
    t.equal(shareInForce(copy, record.deadline), 0);
  }
  const complete: MoveRecord = { ...raising, phase: "complete", share: 1 };
  t.equal(shareInForce(complete, record.deadline + 1), 1);
  t.end();
});

t.test("no driver writes complete within the guard, whatever it knows", (t) => {
  const phase = fc.constantFrom<MoveRecord["phase"]>(
    "pending",
    "trial",
    "raising",
  );
  fc.assert(
    fc.property(
      phase,
      fc.integer({ min: 0, max: 2 }),
      fc.integer({ min: 0, max: 700_000 }),
      fc.integer({ min: 0, max: 700_000 }),
      fc.integer({ min: 0, max: 1000 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      (phase, step, since, now, ended, room) => {
        const copy: MoveRecord = { ...record, phase, step, since };
        const next = nextStep(copy, factsWith(ended, room), now);
        const guarded = now > record.deadline - COMPLETION_GUARD;
        if (guarded) return next?.phase === "takenBack";
        if (next === undefined) return true;
        return next.share <= room && next.phase !== "takenBack";
      },
    ),
    { seed: 20261202, numRuns: 500 },
  );
  t.pass("no counterexample");
  t.end();
});

t.test("a sidecar holds back after three failures until released", (t) => {
  const hold = new VersionHold();
  for (let call = 0; call < 1000; call++) hold.ended("chat", call % 50 === 0);
  t.equal(hold.heldFor, undefined);
  const fresh = new VersionHold();
  for (let call = 0; call < 3; call++) fresh.ended("chat", true);
  t.equal(fresh.heldFor, "chat");
  fresh.release();
  t.equal(fresh.heldFor, undefined);
  t.end();
});

t.test("a driver that looks seldom still completes a short move", (t) => {
  // A good version is taken back at its deadline on a busy machine: each step
  // used nearly all of its time, and the driver came to the last one just
  // after the guard had begun.
  const short: MoveRecord = { ...record, deadline: 50_000 };
  for (const every of [1000, 2500, 4000]) {
    let current = short;
    for (let now = every; now < short.deadline; now += every) {
      const facts = factsWith(Math.floor(now / 500));
      current = nextStep(current, facts, now) ?? current;
    }
    t.equal(current.phase, "complete", `every ${every} ms`);
  }
  t.end();
});
