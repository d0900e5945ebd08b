import t from "tap";
import { ResetCheck } from "../src/mod.ts";
import type { ResetCheckResult } from "../src/mod.ts";
import { hideResets } from "./hidden_resets.ts";

/** Runs the first check. */
async function check(): Promise<ResetCheckResult> {
  const results: ResetCheckResult[] = [];
  const controller = new AbortController();
  const resetCheck = new ResetCheck((result) => results.push(result));
  t.equal(resetCheck.detection, "unknown");
  await resetCheck.start(controller.signal);
  controller.abort();
  t.equal(resetCheck.detection, results[0]?.detection);
  return results[0]!;
}

t.test("resets show on this machine", async (t) => {
  const { detection, detail } = await check();
  t.equal(detection, "shown");
  t.match(detail, /regular: \{"peer":"known","write":"accepted"\}/);
});

// Guards against relying on a kernel that does not show resets.
t.test("a kernel that hides resets is found out", async (t) => {
  const restore = hideResets();
  t.teardown(restore);
  const { detection, detail } = await check();
  t.equal(detection, "not_shown");
  t.match(detail, /reset: \{"peer":"known","write":"accepted"\}/);
});
