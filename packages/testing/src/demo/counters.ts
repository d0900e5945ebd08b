/** Prints the counters of the demonstration's daemons. @module */
import type { DaemonProcess } from "../fleet/daemon_process.ts";
import type { Fleet } from "../fleet/fleet.ts";
import { printStep } from "./print.ts";

const PROJECT_COUNTER = /^sycamorepulley_\w+_total(\{|$)/;

/** Prints each counter with the prefix `sycamorepulley_` that is not 0. */
export async function showCounters(fleet: Fleet): Promise<void> {
  for (const entry of fleet.entries) {
    await showDaemonCounters(entry);
  }
  for (const { sidecar } of fleet.backends) {
    await showDaemonCounters(sidecar);
  }
}

async function showDaemonCounters(daemon: DaemonProcess): Promise<void> {
  printStep(
    `Counters of ${daemon.settings.instance} (${daemon.statusUrl}/metrics):`,
  );
  for (const [name, value] of await daemon.metrics()) {
    if (PROJECT_COUNTER.test(name)) {
      console.log(`  ${name} ${value}`);
    }
  }
}
