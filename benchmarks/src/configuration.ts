/**
 * Prints the cost of configurations with growing numbers of organisations: the
 * size in the platform's key-value service, and the time and memory that it
 * takes a process to adopt one. Run with `npm run bench:configuration`.
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
    cost.retainedBytes / 1024,
  ]);
}
