/** Memory and processor time of waiting requests and of idleness. @module */
import { setMaxListeners } from "node:events";
import { setTimeout } from "node:timers/promises";
import type { CallOutcome } from "../history/call_record.ts";
import { waitFor } from "../process/wait_for.ts";
import type { MeasuredPath } from "./measure_fleet.ts";
import { processorTimes } from "./processor_times.ts";
import { residentMemory } from "./process_usage.ts";

const WAITING = 1000;
const IDLE_SECONDS = 10;
const SETTLE = 3000;
/** So that every request still waits when the memory is read. */
const SLOW_FACTOR = 1_000_000;
const PROMPT = "x".repeat(800);

/** Of one daemon. Memory in MB, the idle share in parts of one core. */
export type DaemonUsage = {
  /** Before any load. */
  freshMemory: number;
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

/** Resident memory of both daemons in MB. */
export type Memory = { entry: number; sidecar: number };

/** Memory as it is now, once the daemons have had time to settle. */
export async function measureMemory(path: MeasuredPath): Promise<Memory> {
  await setTimeout(SETTLE);
  return {
    entry: await residentMemory(path.entry.process.processId),
    sidecar: await residentMemory(path.sidecar.process.processId),
  };
}

/** Idles, then lets requests wait for an engine that stands almost still. */
export async function measureWaiting(
  path: MeasuredPath,
  fresh: Memory,
): Promise<WaitingResult> {
  const idle = await measureIdle(path);
  await path.engine.setFaults({ slowFactor: SLOW_FACTOR });
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const calls = sendWaiting(path, stop.signal);
  await waitFor(
    "the requests to wait",
    async () => await waitingAtEntry(path) >= WAITING * 0.9,
  );
  const memory = await measureMemory(path);
  const waiting = await waitingAtEntry(path);
  stop.abort();
  await Promise.all(calls);
  const usage = (role: "entry" | "sidecar") => ({
    ...idle[role],
    freshMemory: fresh[role],
    waitingMemory: memory[role],
  });
  return { waiting, entry: usage("entry"), sidecar: usage("sidecar") };
}

type Idle = Pick<DaemonUsage, "idleMemory" | "idleShare">;

async function measureIdle(
  path: MeasuredPath,
): Promise<{ entry: Idle; sidecar: Idle }> {
  const memory = await measureMemory(path);
  const before = await processorTimes(path);
  await setTimeout(IDLE_SECONDS * 1000);
  const after = await processorTimes(path);
  const idle = (role: "entry" | "sidecar") => ({
    idleMemory: memory[role],
    idleShare: (after[role] - before[role]) / (IDLE_SECONDS * 1000),
  });
  return { entry: idle("entry"), sidecar: idle("sidecar") };
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
  const { waiting } = await entry.status();
  return Number(waiting);
}
