import fc from "fast-check";
import t from "tap";
import * as v from "valibot";
import {
  COMPLETION_GUARD,
  effectiveOutcome,
  effectiveShare,
  moveRecordSchema,
  nextStep,
  VersionFailureDetector,
} from "../src/mod.ts";
import type { MoveInputs, MoveRecord } from "../src/mod.ts";
import { inputsWith, record } from "./move_fixtures.ts";

t.test("a move to a good version completes in steps before the guard time", (t) => {
  let current = record;
  const shares: number[] = [];
  for (let now = 0; now < record.deadline; now += 1000) {
    const next = nextStep(current, inputsWith(now / 100), now);
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

t.test("a move with little traffic completes in time", (t) => {
  let current = record;
  for (let now = 0; now < record.deadline; now += 1000) {
    const ended = Math.floor(now / 60_000);
    current = nextStep(current, inputsWith(ended), now) ?? current;
  }
  t.equal(current.phase, "complete");
  t.end();
});

t.test("a move to a bad version is taken back, which is final", (t) => {
  const bad: MoveInputs = {
    ...inputsWith(10),
    verdict: {
      kind: "bad",
      route: "chat",
      reason: "failures",
      from: { ended: 1, failed: 0, slow: 0 },
      to: { ended: 3, failed: 3, slow: 0 },
    },
  };
  const trial = nextStep(record, inputsWith(0), 0)!;
  const ended = nextStep(trial, bad, 1000)!;
  t.match(ended, { phase: "takenBack", share: 0, reason: "failures" });
  t.equal(nextStep(ended, inputsWith(1000), 2000), undefined);
  t.end();
});

t.test("a move without capacity or evidence is taken back at the guard time", (t) => {
  const late = record.deadline - COMPLETION_GUARD + 1;
  const withoutCapacity = inputsWith(0, 0);
  t.equal(nextStep(record, withoutCapacity, late - 1), undefined);
  t.match(nextStep(record, withoutCapacity, late), { reason: "no_room" });
  const trial = nextStep(record, inputsWith(0), 0)!;
  t.match(nextStep(trial, inputsWith(0), late), { reason: "no_evidence" });
  t.match(nextStep(trial, inputsWith(5), late), { reason: "deadline" });
  t.end();
});

t.test("after an outage at the deadline all processes agree on the outcome", (t) => {
  // Without the rule, each process would keep the share that it read last.
  const trial = nextStep(record, inputsWith(0), 0)!;
  const raising: MoveRecord = { ...trial, phase: "raising", share: 0.25 };
  for (const copy of [record, trial, raising]) {
    t.equal(effectiveOutcome(copy, record.deadline - 1), "running");
    t.equal(effectiveOutcome(copy, record.deadline), "takenBack");
    t.equal(effectiveShare(copy, record.deadline), 0);
  }
  const complete: MoveRecord = { ...raising, phase: "complete", share: 1 };
  t.equal(effectiveShare(complete, record.deadline + 1), 1);
  t.end();
});

t.test("no driver completes a move within the guard time", (t) => {
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
      (phase, step, since, now, ended, capacityShare) => {
        const copy: MoveRecord = { ...record, phase, step, since };
        const next = nextStep(copy, inputsWith(ended, capacityShare), now);
        const guarded = now > record.deadline - COMPLETION_GUARD;
        if (guarded) return next?.phase === "takenBack";
        if (next === undefined) return true;
        return next.share <= capacityShare && next.phase !== "takenBack";
      },
    ),
    { seed: 20261202, numRuns: 500 },
  );
  t.pass("no counterexample");
  t.end();
});

t.test("three failures in a row are detected until the reset", (t) => {
  const detector = new VersionFailureDetector();
  for (let call = 0; call < 1000; call++) {
    detector.recordCall("chat", call % 50 === 0);
  }
  t.equal(detector.failingRoute, undefined);
  const fresh = new VersionFailureDetector();
  for (let call = 0; call < 3; call++) fresh.recordCall("chat", true);
  t.equal(fresh.failingRoute, "chat");
  fresh.reset();
  t.equal(fresh.failingRoute, undefined);
  t.end();
});

t.test("a driver with a long period completes a short move", (t) => {
  // Steps that use all of their time reach the guard if the driver is slow.
  const short: MoveRecord = { ...record, deadline: 50_000 };
  for (const every of [1000, 2500, 4000]) {
    let current = short;
    for (let now = every; now < short.deadline; now += every) {
      const inputs = inputsWith(Math.floor(now / 500));
      current = nextStep(current, inputs, now) ?? current;
    }
    t.equal(current.phase, "complete", `every ${every} ms`);
  }
  t.end();
});
