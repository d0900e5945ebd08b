import t from "tap";
import { RolloutEvidence } from "../src/mod.ts";
import type { ComparedRun } from "../src/mod.ts";

const RUN: ComparedRun = {
  entry: "entry",
  version: "v1",
  server: "server",
  dataCentre: "a",
  route: "route",
  cost: { promptTokens: 100, outputTokens: 100 },
  grantedAt: 0,
  isCold: false,
};

function record(
  evidence: RolloutEvidence,
  version: string,
  timing: { tokens: number; measured: number },
  now: number,
): void {
  const server = `${version}-${now}`;
  evidence.recordStart("run", { ...RUN, version, server, grantedAt: now });
  evidence.recordResponseStart("run", 100);
  evidence.recordStreamTiming("run", { ...timing, pausePart: 0 });
  evidence.recordEnd("run", "answered", now + 1000);
}

t.test("a response without tokens does not hide slow tokens", (t) => {
  const evidence = new RolloutEvidence();
  evidence.compare("v1", "v2");
  record(evidence, "v1", { tokens: 0, measured: 0 }, 0);
  for (let now = 0; now < 6000; now += 100) {
    record(evidence, "v1", { tokens: 100, measured: 300 }, now);
    if (now >= 3000) {
      record(evidence, "v2", { tokens: 100, measured: 900 }, now);
    }
    evidence.observe(now + 1000);
  }
  t.match(evidence.verdict, { kind: "bad", reason: "slowness" });
  t.end();
});
