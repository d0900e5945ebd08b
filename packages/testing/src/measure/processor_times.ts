/** Processor time of the daemons on the measured path. @module */
import type { MeasuredPath } from "./measure_fleet.ts";
import { processorTime } from "./process_usage.ts";

/** Returns each daemon's processor time so far, in milliseconds. */
export async function processorTimes(
  { entry, sidecar }: MeasuredPath,
): Promise<{ entry: number; sidecar: number }> {
  return {
    entry: await processorTime(entry.process.processId),
    sidecar: await processorTime(sidecar.process.processId),
  };
}
