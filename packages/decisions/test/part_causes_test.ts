import t from "tap";
import { CrashSuspects, SoleSuspectRule } from "../src/mod.ts";

const ALWAYS_TOGETHER = ["part:bad", "part:companion"];

/** Crashes servers under requests with these parts, each the only suspect. */
function crash(
  suspects: CrashSuspects,
  count: number,
  parts: readonly string[],
  now: number,
): void {
  for (let index = 0; index < count; index++) {
    const fingerprints = [`request-${now}-${index}`, ...parts];
    const { kind } = suspects.verdictOf(fingerprints, now);
    suspects.recordServerCrash({
      server: `s${index}`,
      runs: [{ fingerprints, suspects: kind === "suspect" ? parts : [] }],
    }, now);
  }
}

t.test("a sound part that always came with the cause is cleared by itself", (t) => {
  // Guards against refusing sound requests for ten minutes.
  const suspects = new CrashSuspects(new SoleSuspectRule());
  crash(suspects, 3, ALWAYS_TOGETHER, 0);
  const kindOf = (parts: readonly string[]) =>
    suspects.verdictOf(["request", ...parts], 1).kind;
  t.equal(kindOf(ALWAYS_TOGETHER), "quarantined");
  t.equal(kindOf(["part:companion"]), "suspect");
  t.equal(kindOf(["part:bad"]), "suspect");
  suspects.recordCompleteRun("part:companion", 1);
  t.equal(kindOf(["part:companion"]), "clear");
  t.equal(kindOf(ALWAYS_TOGETHER), "quarantined");
  t.end();
});

t.test("a part with earlier complete runs is no suspect after a few crashes", (t) => {
  // Guards against holding back all requests that share their first part.
  const suspects = new CrashSuspects(new SoleSuspectRule());
  suspects.recordCompleteRun("part:common", 0);
  crash(suspects, 8, ["part:common", "part:bad"], 1000);
  t.equal(suspects.verdict("part:common", 1001).kind, "clear");
  t.equal(suspects.verdict("part:bad", 1001).kind, "quarantined");
  t.end();
});

t.test("a part that begins to crash servers is suspected despite earlier runs", (t) => {
  const suspects = new CrashSuspects(new SoleSuspectRule());
  suspects.recordCompleteRun("part:common", 0);
  for (let now = 1000; now < 4000; now += 500) {
    crash(suspects, 1, ["part:common"], now);
  }
  t.equal(suspects.verdict("part:common", 4000).kind, "quarantined");
  t.end();
});

t.test("a part is quarantined shortly at first, and then for ten minutes", (t) => {
  // Guards against refusing a part for long that ran in crashes by chance.
  const suspects = new CrashSuspects(new SoleSuspectRule());
  crash(suspects, 3, ["part:bad"], 0);
  t.match(suspects.verdict("part:bad", 0), { retryAfter: 1500 });
  t.equal(suspects.verdict("part:bad", 1500).kind, "suspect");
  crash(suspects, 1, ["part:bad"], 1500);
  t.match(suspects.verdict("part:bad", 1500), { retryAfter: 600_000 });
  t.end();
});

t.test("suspects of many crashes evict no quarantined part", (t) => {
  const suspects = new CrashSuspects(new SoleSuspectRule());
  crash(suspects, 4, ["part:bad"], 0);
  for (let index = 0; index < 2000; index++) {
    const parts = Array.from(
      { length: 4 },
      (_, part) => `part:${index}.${part}`,
    );
    crash(suspects, 1, parts, index);
  }
  t.equal(suspects.verdict("part:bad", 1000).kind, "quarantined");
  t.end();
});
