/**
 * Prints the time that decisions take for growing queues and fleets. The figures
 * depend on the machine; what matters is that no column grows in proportion to
 * the size of the queue or the fleet. Run with `npm run bench:deciding`.
 * @module
 */
import { cpus } from "node:os";
import { measurePlacement } from "./deciding/placement_decisions.ts";
import { measureQueue } from "./deciding/queue_decisions.ts";

const QUEUE_SIZES = [100, 1000, 10_000, 100_000];
const FLEET_SIZES = [10, 100, 600];
const NANOSECONDS_PER_SECOND = 1e9;

function main(): void {
  console.log(`Node.js ${process.version}, ${cpus()[0]?.model ?? "unknown"}\n`);
  printQueue();
  console.log("");
  printPlacement();
}

function printQueue(): void {
  printRow([
    "waiting",
    "offer and take, ns",
    "offer and withdraw, ns",
    "offer and evict, ns",
    "offer and expire, ns",
    "take nothing, ns",
    "offers and takes a second",
  ]);
  printRow(Array.from({ length: 7 }, () => "---:"));
  for (const size of QUEUE_SIZES) {
    const cost = measureQueue(size);
    printRow([
      size,
      cost.offerAndTake,
      cost.offerAndWithdraw,
      cost.offerAndEvict,
      cost.offerAndExpire,
      cost.takeNothing,
      NANOSECONDS_PER_SECOND / cost.offerAndTake,
    ]);
  }
}

function printPlacement(): void {
  printRow(["backend servers", "with room, ns", "all overloaded, ns"]);
  printRow(["---:", "---:", "---:"]);
  for (const size of FLEET_SIZES) {
    const cost = measurePlacement(size);
    printRow([size, cost.withCapacity, cost.overloaded]);
  }
}

function printRow(cells: (number | string)[]): void {
  const texts = cells.map((cell) =>
    typeof cell === "number" ? Math.round(cell).toLocaleString("en") : cell
  );
  console.log(`| ${texts.join(" | ")} |`);
}

main();
