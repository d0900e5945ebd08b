/** The fleet that is measured: one entry, one sidecar, one fast engine. @module */
import type { DaemonProcess } from "../fleet/daemon_process.ts";
import type { EmulatedProcess } from "../fleet/emulated_process.ts";
import { Fleet } from "../fleet/fleet.ts";

/** The processes of the path that is measured. */
export type MeasuredPath = {
  fleet: Fleet;
  engine: EmulatedProcess;
  entry: DaemonProcess;
  sidecar: DaemonProcess;
};

/** An engine of 1 ms a token, so that the path's own time shows. */
const ENGINE_OPTIONS = {
  stepTime: 1,
  sequenceTime: 0,
  prefillTime: 0,
  maxSequences: 1024,
};

/** Starts it; the caller stops the fleet. */
export async function startMeasuredPath(): Promise<MeasuredPath> {
  const fleet = await Fleet.start({
    entries: 1,
    backends: [{
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: ENGINE_OPTIONS,
    }],
  });
  const [entry] = fleet.entries;
  const [pair] = fleet.backends;
  if (entry === undefined || pair === undefined) {
    throw new Error("the fleet started without its daemons");
  }
  return { fleet, engine: pair.server, entry, sidecar: pair.sidecar };
}
