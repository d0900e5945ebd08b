/** `npm run demo`: a small fleet on loopback and a request of each kind. @module */
import { once } from "node:events";
import process from "node:process";
import { Fleet } from "../fleet/fleet.ts";
import { showCounters } from "./counters.ts";
import { DEMO_FLEET } from "./demo_fleet.ts";
import { printHowToCall, printProcesses } from "./print.ts";
import { showRequests } from "./requests.ts";

const keep = process.argv.includes("--keep");
const interrupted = Promise.race([
  once(process, "SIGINT"),
  once(process, "SIGTERM"),
]);

console.log("Starting the fleet on 127.0.0.1 …");
const fleet = await Fleet.start(DEMO_FLEET);
try {
  await Promise.race([show(), interrupted]);
} finally {
  console.log("\nStopping: entries first, then sidecars, then the others …");
  await fleet.shutDown();
}
console.log("All processes have ended.");
process.exit();

async function show(): Promise<void> {
  printProcesses(fleet);
  await showRequests(fleet);
  await showCounters(fleet);
  if (keep) {
    printHowToCall(fleet);
    await interrupted;
  }
}
