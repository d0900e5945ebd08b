/** Formats the page of measurements. @module */
import { execFileSync } from "node:child_process";
import { cpus, loadavg } from "node:os";
import process from "node:process";
import type { LatencyComparison, LatencyResult } from "./measure_latency.ts";
import type { DaemonUsage, WaitingResult } from "./measure_waiting.ts";

/** Formats the results as Markdown, with milliseconds and MB as units. */
export function formatReport(
  latencies: LatencyResult[],
  waiting: WaitingResult,
): string {
  return `# Measurements

Written by \`npm run measure:latency\` on ${today()}, with
Node.js ${process.version} on ${cpus().length} processors; the machine's load
average at the end was ${loadavg()[0]?.toFixed(1)}, including other work. If it
exceeds the number of processors, every figure includes waiting for a processor.

One entry, one sidecar and one emulated engine (1 ms per token, 16 tokens,
streamed) run as processes on 127.0.0.1; arrivals are open-loop and seeded. Each
figure is the median of three rounds of 5 s that alternate between calling the
engine directly and through entry and sidecar, after a warm-up of 3 s.

## Added latency

${latencyTable(latencies)}

## Processor time per request

${processorTable(latencies)}

## Resident memory and idle processor time

${memoryTable(waiting)}

The requests have bodies of about 900 bytes and wait for an engine that is slowed
almost to a standstill; their callers' connections are open. Memory is read before
any load, after the loads above and while the requests wait. A bare Node.js process
uses about ${measureBareNodeMemory().toFixed(0)} MB.
`;
}

function latencyTable(latencies: LatencyResult[]): string {
  const rows = latencies.flatMap((result) => [
    latencyRow(result, "first byte", result.firstByte),
    latencyRow(result, "whole response", result.total),
  ]);
  return [
    "| requests/s | what | direct p50 / p99 | through p50 / p99 | " +
    "added p50 / p99 | answered | not answered |",
    "| --- | --- | --- | --- | --- | --- | --- |",
    ...rows,
  ].join("\n");
}

function latencyRow(
  { rate, answered, notAnswered }: LatencyResult,
  label: string,
  { direct, through }: LatencyComparison,
): string {
  const cells = [
    rate,
    label,
    percentiles(direct),
    percentiles(through),
    percentiles({
      p50: through.p50 - direct.p50,
      p99: through.p99 - direct.p99,
    }),
    answered,
    notAnswered,
  ];
  return `| ${cells.join(" | ")} |`;
}

function percentiles({ p50, p99 }: { p50: number; p99: number }): string {
  return `${p50.toFixed(2)} / ${p99.toFixed(2)} ms`;
}

function processorTable(latencies: LatencyResult[]): string {
  const rows = latencies.map(({ rate, entryTime, sidecarTime }) =>
    `| ${rate} | ${entryTime.toFixed(2)} ms | ${sidecarTime.toFixed(2)} ms |`
  );
  return [
    "| requests/s | entry | sidecar |",
    "| --- | --- | --- |",
    ...rows,
  ].join("\n");
}

function memoryTable({ waiting, entry, sidecar }: WaitingResult): string {
  return [
    `| role | fresh | idle after load | with ${waiting} waiting | ` +
    "per 1,000 waiting | idle processor time |",
    "| --- | --- | --- | --- | --- | --- |",
    memoryRow("entry", entry, waiting),
    memoryRow("sidecar", sidecar, waiting),
  ].join("\n");
}

function memoryRow(role: string, usage: DaemonUsage, waiting: number): string {
  const memoryPerThousand = (usage.waitingMemory - usage.idleMemory) * 1000 /
    waiting;
  const cells = [
    role,
    `${usage.freshMemory.toFixed(1)} MB`,
    `${usage.idleMemory.toFixed(1)} MB`,
    `${usage.waitingMemory.toFixed(1)} MB`,
    `${memoryPerThousand.toFixed(1)} MB`,
    `${(usage.idleShare * 100).toFixed(2)}% of a core`,
  ];
  return `| ${cells.join(" | ")} |`;
}

function today(): string {
  return new Date().toISOString().slice(0, 10);
}

function measureBareNodeMemory(): number {
  const bare = execFileSync(process.execPath, [
    "-e",
    "console.log(process.memoryUsage().rss)",
  ], { encoding: "utf8" });
  return Number(bare) / 2 ** 20;
}
