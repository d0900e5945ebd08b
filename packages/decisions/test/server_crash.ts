import type { ServerCrash } from "../src/mod.ts";

/**
 * A crash of a server that ran requests without prompt parts; `suspects`: those
 * that were granted as suspects.
 */
export function serverCrash(
  server: string,
  running: readonly string[],
  suspects: readonly string[] = [],
): ServerCrash {
  return {
    server,
    runs: running.map((fingerprint) => ({
      fingerprints: [fingerprint],
      suspects: suspects.filter((suspect) => suspect === fingerprint),
    })),
  };
}
