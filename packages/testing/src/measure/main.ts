/**
 * `npm run measure:latency`: measures the daemons and writes the page.
 * @module
 */
import { writeFile } from "node:fs/promises";
import process from "node:process";
import { startMeasuredPath } from "./measure_fleet.ts";
import { measureLatency } from "./measure_latency.ts";
import type { LatencyResult } from "./measure_latency.ts";
import { measureMemory, measureWaiting } from "./measure_waiting.ts";
import { formatReport } from "./report.ts";

/** Requests per second. */
const RATES = [50, 200];
const PAGE = "docs/MEASUREMENTS.md";

const measuredPath = await startMeasuredPath();
try {
  const fresh = await measureMemory(measuredPath);
  const latencies: LatencyResult[] = [];
  for (const rate of RATES) {
    console.log(`measuring ${rate} requests/s …`);
    latencies.push(await measureLatency(measuredPath, rate));
  }
  console.log("measuring idle daemons and waiting requests …");
  const page = formatReport(
    latencies,
    await measureWaiting(measuredPath, fresh),
  );
  console.log(`\n${page}`);
  if (!process.argv.includes("--dry-run")) {
    await writeFile(PAGE, page);
    console.log(`written to ${PAGE}`);
  }
} finally {
  await measuredPath.fleet.kill();
}
