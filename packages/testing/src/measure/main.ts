/** `npm run measure:latency`: measures the path and writes the page. @module */
import { writeFile } from "node:fs/promises";
import process from "node:process";
import { startMeasuredPath } from "./measure_fleet.ts";
import { measureLatency } from "./measure_latency.ts";
import type { LatencyResult } from "./measure_latency.ts";
import { measureMemory, measureWaiting } from "./measure_waiting.ts";
import { report } from "./report.ts";

const RATES = [50, 200];
const PAGE = "docs/MEASUREMENTS.md";

const path = await startMeasuredPath();
try {
  const fresh = await measureMemory(path);
  const latencies: LatencyResult[] = [];
  for (const rate of RATES) {
    console.log(`measuring ${rate} requests/s …`);
    latencies.push(await measureLatency(path, rate));
  }
  console.log("measuring idleness and waiting requests …");
  const page = report(latencies, await measureWaiting(path, fresh));
  console.log(`\n${page}`);
  if (!process.argv.includes("--dry-run")) {
    await writeFile(PAGE, page);
    console.log(`written to ${PAGE}`);
  }
} finally {
  await path.fleet.kill();
}
