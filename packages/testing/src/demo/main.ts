/**
 * `npm run demo`: starts a small fleet on loopback and sends a request of each
 * kind.
 * @module
 */
import { once } from "node:events";
import process from "node:process";
import { Fleet } from "../fleet/fleet.ts";
import { showCounters } from "./counters.ts";
import { DEMO_FLEET } from "./demo_fleet.ts";
import { printHowToCall, printProcesses } from "./print.ts";
import { showRequests } from "./requests.ts";

const keepRunning = process.argv.includes("--keep");
const interrupted = Promise.race([
  once(process, "SIGINT"),
  once(process, "SIGTERM"),
]);

console.log("Starting the fleet on 127.0.0.1 …");
const fleet = await Fleet.start(DEMO_FLEET);
try {
  await Promise.race([runDemonstration(), interrupted]);
} finally {
  console.log(
    "\nStopping the entries, then the sidecars, then the other processes …",
  );
  await fleet.shutDown();
}
console.log("All processes have exited.");
process.exit();

async function runDemonstration(): Promise<void> {
  printProcesses(fleet);
  await showRequests(fleet);
  await showCounters(fleet);
  if (keepRunning) {
    printHowToCall(fleet);
    await interrupted;
  }
}
