/** Memory and processor time of waiting requests and of idleness. @module */
import { setTimeout } from "node:timers/promises";
import type { CallOutcome } from "../history/call_record.ts";
import { waitFor } from "../process/wait_for.ts";
import type { MeasuredPath } from "./measure_fleet.ts";
import { processorTime, residentMemory } from "./process_usage.ts";

const WAITING = 1000;
const IDLE_SECONDS = 10;
const SETTLE = 3000;
/** So that every request still waits when the memory is read. */
const SLOW_FACTOR = 1_000_000;
const PROMPT = "x".repeat(800);

/** Of one daemon. Memory in MB, the idle share in parts of one core. */
export type DaemonUsage = {
  idleMemory: number;
  idleShare: number;
  waitingMemory: number;
};

/** Of both daemons, with the requests that waited. */
export type WaitingResult = {
  waiting: number;
  entry: DaemonUsage;
  sidecar: DaemonUsage;
};

/** Idles, then lets requests wait for an engine that stands almost still. */
export async function measureWaiting(
  path: MeasuredPath,
): Promise<WaitingResult> {
  const idle = await measureIdle(path);
  await path.engine.setFaults({ slowFactor: SLOW_FACTOR });
  const stop = new AbortController();
  const calls = sendWaiting(path, stop.signal);
  const waiting = await waitFor("the requests to wait", async () => {
    const counted = await waitingAtEntry(path);
    return counted >= WAITING * 0.9 && counted;
  });
  await setTimeout(SETTLE);
  const entryMemory = await residentMemory(path.entry.process.processId);
  const sidecarMemory = await residentMemory(path.sidecar.process.processId);
  stop.abort();
  await Promise.all(calls);
  return {
    waiting,
    entry: { ...idle.entry, waitingMemory: entryMemory },
    sidecar: { ...idle.sidecar, waitingMemory: sidecarMemory },
  };
}

type Idle = Omit<DaemonUsage, "waitingMemory">;

async function measureIdle(
  { entry, sidecar }: MeasuredPath,
): Promise<{ entry: Idle; sidecar: Idle }> {
  const ids = [entry.process.processId, sidecar.process.processId] as const;
  await setTimeout(SETTLE);
  const before = await Promise.all(ids.map(processorTime));
  await setTimeout(IDLE_SECONDS * 1000);
  const after = await Promise.all(ids.map(processorTime));
  const [entryMemory = 0, sidecarMemory = 0] = await Promise.all(
    ids.map(residentMemory),
  );
  const share = (index: 0 | 1) =>
    (after[index]! - before[index]!) / (IDLE_SECONDS * 1000);
  return {
    entry: { idleMemory: entryMemory, idleShare: share(0) },
    sidecar: { idleMemory: sidecarMemory, idleShare: share(1) },
  };
}

function sendWaiting(
  { fleet }: MeasuredPath,
  signal: AbortSignal,
): Promise<CallOutcome>[] {
  const caller = fleet.caller();
  return Array.from({ length: WAITING }, (_, index) =>
    caller.chat({
      marker: `waiting-${index}`,
      service: "assistant",
      tier: "batch",
      prompt: PROMPT,
      signal,
    }));
}

async function waitingAtEntry({ entry }: MeasuredPath): Promise<number> {
  const metrics = await entry.metrics();
  return metrics.get('sycamorepulley_waiting{service="assistant"}') ?? 0;
}
