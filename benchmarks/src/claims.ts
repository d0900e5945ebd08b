/**
 * Prints the cost of idempotency claims: calls to the platform's key-value
 * service, and the time that callers wait. The service is emulated in the same
 * process and called by HTTP on 127.0.0.1. Run with `npm run bench:claims`.
 * @module
 */
import { measureClaims } from "./claims/measure_claims.ts";
import { measureClaimSize } from "./claims/measure_claim_size.ts";

const CASES = [
  { ledgers: 1, perSecond: 5 },
  { ledgers: 1, perSecond: 50 },
  { ledgers: 1, perSecond: 400 },
  { ledgers: 3, perSecond: 15 },
  { ledgers: 3, perSecond: 300 },
  { ledgers: 12, perSecond: 300 },
];

function printRow(cells: (number | string)[]): void {
  console.log(`| ${cells.join(" | ")} |`);
}

printRow([
  "entries",
  "requests a second",
  "claimed",
  "refused",
  "writes a second",
  "reads a second",
  "calls for each request",
  "claim p50, ms",
  "claim p99, ms",
]);
printRow(Array.from({ length: 9 }, () => "---:"));
for (const options of CASES) {
  const cost = await measureClaims(options);
  printRow([
    options.ledgers,
    options.perSecond,
    cost.claimed,
    cost.refused,
    cost.writesPerSecond.toFixed(1),
    cost.readsPerSecond.toFixed(1),
    cost.callsPerRequest.toFixed(2),
    cost.median.toFixed(0),
    cost.percentile99.toFixed(0),
  ]);
}

const size = await measureClaimSize();
console.log(`
One service's claims with outcomes of ${size.bodyBytes} bytes:
${size.claims} claims take ${size.bytesPerClaim.toFixed(0)} bytes each,
and ${size.indexBytesPerClaim.toFixed(1)} in the index once sealed;
the largest head or segment had ${size.largestValue} bytes.`);
