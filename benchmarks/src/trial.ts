import { measure } from "./report/measures.ts";
import { patternReport } from "./report/pattern_report.ts";
import { boundByTier, freeBound } from "./report/upper_bound.ts";
import { baselines } from "./policies/baselines.ts";
import { LateBinding } from "./policies/late_binding.ts";
import { allDecisions } from "./policies/late_binding_settings.ts";
import { run } from "./run.ts";
import { zlati } from "./workload/zlati.ts";
import { collective } from "./workload/collective.ts";
import { patterns } from "./workload/pattern.ts";
const variants: any = {
  all: {}, 
  nofirst: { firstTokenBound: false }, fix16: { fixedLimit: 16 }, fix32: { fixedLimit: 32 }, fix48: { fixedLimit: 48 }, noprefix: { prefixAffinity: false }, d1: {reservations: 1}, d4: {reservations: 4}, d6: {reservations: 6}, cap200: {queueCapacity: 200}, noej: {ejection: false},
};
const [, , pat, dep, which] = process.argv;
for (const deployment of [zlati, collective]) {
  if (dep && dep !== deployment.name) continue;
  for (const pattern of patterns) {
    if (pat && !pat.split(",").includes(pattern.name)) continue;
    const lines = [];
    let requests: any[] = [];
    const ps = [...baselines.slice(2), ...(which ?? "all").split(",").map((v) => ({ name: v, policy: (o: any) => new LateBinding({ ...o, settings: { ...allDecisions, ...variants[v] } }) }))];
    for (const { name, policy } of ps) {
      const start = Date.now();
      const result = run({ deployment, pattern, policy, seed: 1 });
      requests = result.outcomes.map((o) => o.request).filter((r) => r.judged);
      lines.push({ name, measures: measure([result.outcomes]) });
      console.log(name, result.outcomes.length, result.crashes, Date.now() - start);
    }
    const bounds = { byTier: boundByTier({ deployment, pattern, requests }), free: freeBound({ deployment, pattern, requests }) };
    console.log(deployment.name, pattern.name);
    console.log(patternReport(lines, bounds));
  }
}
