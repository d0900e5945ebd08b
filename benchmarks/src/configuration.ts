/**
 * Prints what a configuration costs as organisations grow: its size in the
 * platform's service, and the time and memory of adopting it in a process.
 * @module
 */
import { measureConfiguration } from "./configuration/measure_configuration.ts";

const ORGANISATIONS = [5, 100, 1000, 7800];

function printRow(cells: (number | string)[]): void {
  const texts = cells.map((cell) =>
    typeof cell === "number"
      ? cell.toLocaleString("en", { maximumFractionDigits: 1 })
      : cell
  );
  console.log(`| ${texts.join(" | ")} |`);
}

printRow([
  "organisations",
  "file, bytes",
  "stored, bytes",
  "check, ms",
  "encode, ms",
  "adopt, ms",
  "held by a process, KB",
]);
printRow(Array.from({ length: 7 }, () => "---:"));
for (const organisations of ORGANISATIONS) {
  const cost = measureConfiguration(organisations);
  printRow([
    organisations,
    cost.fileBytes,
    cost.storedBytes,
    cost.check,
    cost.encode,
    cost.adopt,
    cost.heldBytes / 1024,
  ]);
}
