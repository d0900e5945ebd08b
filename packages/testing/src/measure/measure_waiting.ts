/**
 * Measures the daemons' memory and processor time, idle and with waiting
 * requests.
 * @module
 */
import { setMaxListeners } from "node:events";
import { setTimeout } from "node:timers/promises";
import type { CallOutcome } from "../history/call_record.ts";
import { waitFor } from "../process/wait_for.ts";
import type { MeasuredPath } from "./measure_fleet.ts";
import { processorTimes } from "./processor_times.ts";
import { residentMemory } from "./process_usage.ts";

/** Number of requests that are sent to wait. */
const WAITING_REQUESTS = 1000;
const IDLE_SECONDS = 10;
/** Milliseconds until memory is read. */
const SETTLE_TIME = 3000;
/** Slows each step so much that no request ends before memory is read. */
const SLOW_FACTOR = 1_000_000;
const PROMPT = "x".repeat(800);

/** Usage of one daemon: memory in MB, idle share as a fraction of one core. */
export type DaemonUsage = {
  /** Memory before any load. */
  freshMemory: number;
  idleMemory: number;
  idleShare: number;
  waitingMemory: number;
};

/** Usage of both daemons, and the number of requests that waited. */
export type WaitingResult = {
  waiting: number;
  entry: DaemonUsage;
  sidecar: DaemonUsage;
};

/** Resident memory of both daemons in MB. */
export type DaemonMemory = { entry: number; sidecar: number };

/** Measures resident memory after a pause in which the daemons settle. */
export async function measureMemory(path: MeasuredPath): Promise<DaemonMemory> {
  await setTimeout(SETTLE_TIME);
  return {
    entry: await residentMemory(path.entry.process.processId),
    sidecar: await residentMemory(path.sidecar.process.processId),
  };
}

/**
 * Measures idle daemons, then daemons with requests that wait for a very slow
 * engine.
 */
export async function measureWaiting(
  path: MeasuredPath,
  fresh: DaemonMemory,
): Promise<WaitingResult> {
  const idle = await measureIdle(path);
  await path.engine.setFaults({ slowFactor: SLOW_FACTOR });
  const abort = new AbortController();
  setMaxListeners(0, abort.signal);
  const calls = sendWaiting(path, abort.signal);
  await waitFor(
    "the requests to wait",
    async () => await waitingAtEntry(path) >= WAITING_REQUESTS * 0.9,
  );
  const memory = await measureMemory(path);
  const waiting = await waitingAtEntry(path);
  abort.abort();
  await Promise.all(calls);
  const usage = (role: "entry" | "sidecar") => ({
    ...idle[role],
    freshMemory: fresh[role],
    waitingMemory: memory[role],
  });
  return { waiting, entry: usage("entry"), sidecar: usage("sidecar") };
}

type IdleUsage = Pick<DaemonUsage, "idleMemory" | "idleShare">;

async function measureIdle(
  path: MeasuredPath,
): Promise<{ entry: IdleUsage; sidecar: IdleUsage }> {
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
  return Array.from({ length: WAITING_REQUESTS }, (_, index) =>
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
