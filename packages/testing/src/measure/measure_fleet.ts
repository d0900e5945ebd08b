/** The fleet to measure: one entry, one sidecar and one fast engine. @module */
import type { DaemonProcess } from "../fleet/daemon_process.ts";
import type { EmulatedProcess } from "../fleet/emulated_process.ts";
import { Fleet } from "../fleet/fleet.ts";

/** The processes on the measured path. */
export type MeasuredPath = {
  fleet: Fleet;
  engine: EmulatedProcess;
  entry: DaemonProcess;
  sidecar: DaemonProcess;
};

/**
 * An engine that takes 1 ms per token, so that the latency of the path is
 * visible.
 */
const ENGINE_OPTIONS = {
  stepTime: 1,
  sequenceTime: 0,
  prefillTime: 0,
  maxSequences: 1024,
};

/** Starts the fleet; the calling code has to stop it. */
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
  const [backend] = fleet.backends;
  if (entry === undefined || backend === undefined) {
    throw new Error("the fleet started without its daemons");
  }
  return { fleet, engine: backend.server, entry, sidecar: backend.sidecar };
}
