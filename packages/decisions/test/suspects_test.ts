import fc from "fast-check";
import t from "tap";
import { CrashSuspects, SoleSuspectRule } from "../src/mod.ts";
import { serverCrash } from "./server_crash.ts";

t.test("a second crash while alone quarantines, a complete run clears", (t) => {
  // A request that crashes its engine makes its neighbours suspects as well.
  const suspects = new CrashSuspects();
  suspects.recordCrash([["poison"], ["first"], ["second"]], "s0", 0);
  for (const fingerprint of ["poison", "first", "second"]) {
    t.equal(suspects.verdict(fingerprint, 1).kind, "suspect");
  }
  t.ok(suspects.tryStartRun("first", "s1", 1));
  t.notOk(
    suspects.tryStartRun("poison", "s2", 2),
    "one suspect runs at a time",
  );
  suspects.recordCompleteRun("first", 10);
  t.equal(suspects.verdict("first", 10).kind, "clear");
  t.ok(suspects.tryStartRun("poison", "s2", 11));
  suspects.recordCrash([["poison"]], "s2", 12);
  t.strictSame(suspects.verdict("poison", 13), {
    kind: "quarantined",
    fingerprints: ["poison"],
    retryAfter: 599_999,
  });
  t.ok(
    suspects.tryStartRun("second", "s1", 14),
    "the crash ended the run",
  );
  suspects.recordCompleteRun("second", 15);
  t.equal(suspects.verdict("second", 15).kind, "clear");
  t.end();
});

t.test("a crash that is reported twice counts once", (t) => {
  const suspects = new CrashSuspects();
  suspects.recordCrash([["poison"]], "s0", 0);
  suspects.recordCrash([["poison"]], "s0", 5);
  t.equal(suspects.verdict("poison", 6).kind, "suspect");
  suspects.tryStartRun("poison", "s0", 7);
  suspects.recordCrash([["poison"]], "s0", 8);
  t.equal(suspects.verdict("poison", 9).kind, "quarantined");
  t.end();
});

t.test("a frequent request that ran during two crashes is not quarantined", (t) => {
  const suspects = new CrashSuspects();
  suspects.recordCrash([["poison"], ["popular"]], "s0", 0);
  suspects.recordCrash([["poison"], ["popular"]], "s1", 1);
  t.equal(suspects.verdict("popular", 2).kind, "suspect");
  suspects.tryStartRun("popular", "s2", 3);
  suspects.recordCompleteRun("popular", 4);
  t.equal(suspects.verdict("popular", 5).kind, "clear");
  t.end();
});

t.test("a quarantine becomes a suspicion, which expires", (t) => {
  const suspects = new CrashSuspects();
  suspects.recordCrash([["poison"]], "s0", 0);
  suspects.tryStartRun("poison", "s1", 1);
  suspects.recordCrash([["poison"]], "s1", 2);
  t.equal(suspects.verdict("poison", 600_001).kind, "quarantined");
  t.equal(suspects.verdict("poison", 600_002).kind, "suspect");
  t.equal(suspects.verdict("poison", 1_200_002).kind, "clear");
  t.end();
});

t.test("only crashing requests are quarantined, after two crashes", (t) => {
  const arrival = fc.record({
    fingerprint: fc.integer({ min: 0, max: 9 }),
    server: fc.integer({ min: 0, max: 3 }),
  });
  fc.assert(
    fc.property(
      fc.array(arrival, { maxLength: 200 }),
      fc.integer({ min: 1, max: 3 }),
      (arrivals, poisons) => {
        const suspects = new CrashSuspects();
        const running = [0, 1, 2, 3].map(() => new Set<string>());
        const alone = new Set<number>();
        const crashes = new Map<string, number>();
        let now = 0;
        for (const { fingerprint, server } of arrivals) {
          now += 10;
          const name = `f${fingerprint}`;
          const batch = running[server]!;
          const { kind } = suspects.verdict(name, now);
          if (kind === "quarantined") {
            if (fingerprint >= poisons) return false;
            if (crashes.get(name) !== 2) return false;
            continue;
          }
          if (alone.has(server)) {
            // The suspect that runs alone ends before another request starts.
            for (const done of batch) suspects.recordCompleteRun(done, now);
            batch.clear();
            alone.delete(server);
          }
          if (kind === "suspect") {
            if (batch.size > 0) continue;
            if (!suspects.tryStartRun(name, `s${server}`, now)) continue;
            alone.add(server);
          }
          batch.add(name);
          if (fingerprint >= poisons) continue;
          crashes.set(name, (crashes.get(name) ?? 0) + 1);
          suspects.recordCrash(
            [...batch].map((name) => [name]),
            `s${server}`,
            now,
          );
          batch.clear();
          alone.delete(server);
        }
        return [...crashes.values()].every((count) => count <= 2);
      },
    ),
    { seed: 20261202, numRuns: 500 },
  );
  t.pass("no counterexample");
  t.end();
});

t.test("peers that exchange their statements agree", (t) => {
  const peers = [new CrashSuspects(), new CrashSuspects(), new CrashSuspects()];
  peers[0]!.recordCrash([["poison"], ["innocent"]], "s0", 0);
  const exchange = (now: number) => {
    for (const from of peers) {
      for (const to of peers) to.merge(from.statements(now), now);
    }
  };
  exchange(1);
  t.equal(peers[1]!.verdict("poison", 2).kind, "suspect");
  peers[1]!.tryStartRun("poison", "s1", 2);
  peers[1]!.recordCrash([["poison"]], "s1", 3);
  peers[2]!.tryStartRun("innocent", "s2", 3);
  peers[2]!.recordCompleteRun("innocent", 4);
  exchange(5);
  exchange(6);
  for (const peer of peers) {
    t.equal(peer.verdict("poison", 7).kind, "quarantined");
    t.equal(peer.verdict("innocent", 7).kind, "clear");
  }
  t.end();
});

t.test("the number of stored fingerprints is bounded", (t) => {
  const suspects = new CrashSuspects();
  for (let crash = 0; crash < 200; crash++) {
    const batch = Array.from(
      { length: 64 },
      (_, index) => [`${crash}/${index}`],
    );
    suspects.recordCrash(batch, `s${crash}`, crash);
  }
  t.equal(suspects.statements(200).length, 4096);
  t.equal(suspects.takeChanges(200).length, 4096);
  t.same(suspects.takeChanges(200), []);
  t.end();
});

t.test("many later suspects do not evict a quarantine", (t) => {
  const suspects = new CrashSuspects();
  suspects.recordCrash([["poison"]], "s0", 0);
  suspects.recordCrash([["poison"]], "s1", 1);
  for (let crash = 0; crash < 200; crash++) {
    const batch = Array.from(
      { length: 64 },
      (_, index) => [`${crash}/${index}`],
    );
    suspects.recordCrash(batch, `t${crash}`, crash);
  }
  t.equal(suspects.verdict("poison", 200).kind, "quarantined");
  t.end();
});

t.test("a peer that counted more crashes does not undo a quarantine", (t) => {
  const one = new CrashSuspects(new SoleSuspectRule());
  const other = new CrashSuspects(new SoleSuspectRule());
  const running = ["poison", "neighbour"];
  for (let crash = 0; crash < 5; crash++) {
    other.recordServerCrash(serverCrash(`t${crash}`, running), 0);
    const suspects = crash < 3 ? ["poison"] : [];
    if (crash > 2) continue;
    one.recordServerCrash(serverCrash(`s${crash}`, running, suspects), 0);
  }
  other.merge(one.statements(1), 1);
  one.merge(other.statements(1), 1);
  t.equal(one.verdict("poison", 2).kind, "quarantined");
  t.equal(other.verdict("poison", 2).kind, "quarantined");
  t.end();
});
