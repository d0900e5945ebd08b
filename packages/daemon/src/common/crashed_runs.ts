/** Reads which requests ran at a server that crashed. @module */
import type { CrashedMessage } from "@sycamorepulley/protocol";

/**
 * Fingerprints of each request: of the whole request, then of the parts of its
 * prompt, which earlier versions don't state.
 */
export function crashedRuns(
  { fingerprints, promptPartLists }: CrashedMessage,
): string[][] {
  return fingerprints.map((fingerprint, index) => [
    fingerprint,
    ...(promptPartLists?.[index] ?? []),
  ]);
}
