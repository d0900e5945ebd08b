/** Starts a platform for tests and runs the command line. @module */
import {
  startInstanceList,
  startKeyValueStore,
} from "@sycamorepulley/emulator";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Test } from "tap";
import { run } from "../src/mod.ts";

export const FILE = `{
  // Served first.
  "tiers": [{ "name": "urgent", "rank": 0, "defaultDeadline": 5000 }],
  "services": [{ "name": "orders", "kind": "plain", "defaultTier": "urgent" }]
}
`;

/**
 * Starts the key-value service and the instance list. Returns functions that
 * run a command against them and write a file into the test's directory.
 */
export async function startPlatform(t: Test) {
  const store = await startKeyValueStore();
  const instances = await startInstanceList();
  t.teardown(async () => {
    await store.close();
    await instances.close();
  });
  const environment = {
    SYCAMOREPULLEY_STORE: store.url,
    SYCAMOREPULLEY_INSTANCES: instances.url,
  };
  const directory = t.testdir();
  return {
    store,
    instances,
    command: (...commandArguments: string[]) =>
      command(commandArguments, environment),
    file: (text: string) => {
      const path = join(directory, "fleet.jsonc");
      writeFileSync(path, text);
      return path;
    },
  };
}

/** Runs the command line in this process. */
export async function command(
  commandArguments: string[],
  environment: Record<string, string>,
) {
  const output: string[] = [];
  const errors: string[] = [];
  const exitCode = await run({
    arguments: commandArguments,
    environment,
    print: (line) => output.push(line),
    warn: (line) => errors.push(line),
  });
  return { exitCode, output: output.join("\n"), errors: errors.join("\n") };
}
