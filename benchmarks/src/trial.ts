import { measure } from "./report/measures.ts";
import { patternReport } from "./report/pattern_report.ts";
import { boundByTier, freeBound } from "./report/upper_bound.ts";
import { baselines } from "./policies/baselines.ts";
import { run } from "./run.ts";
import { zlati } from "./workload/zlati.ts";
import { collective } from "./workload/collective.ts";
import { patterns } from "./workload/pattern.ts";
for (const deployment of [zlati, collective]) {
  for (const pattern of patterns) {
    if (process.argv[2] && process.argv[2] !== pattern.name) continue;
    const lines = [];
    let requests: any[] = [];
    for (const { name, policy } of baselines) {
      const start = Date.now();
      const result = run({ deployment, pattern, policy, seed: 1 });
      requests = result.outcomes.map((o) => o.request).filter((r) => r.judged);
      lines.push({ name, measures: measure([result.outcomes]) });
      console.log(name, result.outcomes.length, result.crashes, Date.now() - start);
    }
    const start = Date.now();
    const bounds = { byTier: boundByTier({ deployment, pattern, requests }), free: freeBound({ deployment, pattern, requests }) };
    console.log("bound", Date.now() - start);
    console.log(deployment.name, pattern.name);
    console.log(patternReport(lines, bounds));
  }
}
