/** `check`: checks whether a file could be published. @module */
import {
  checkObjects,
  readObjects,
  readPublished,
} from "@sycamorepulley/configuration";
import type {
  ConfigurationObjects,
  ObjectsFile,
  Problem,
} from "@sycamorepulley/configuration";
import { Result } from "true-myth/result";
import { readText } from "../addresses.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import type { CommandResult } from "../output/command_result.ts";
import { problemsResult } from "../output/problems_result.ts";

/**
 * Checks a file. If the key-value service is reachable, the file is also
 * checked against the published configuration.
 */
export async function check(
  context: Context,
  file: string,
): Promise<CommandResult> {
  const read = readObjectsFile(file);
  if (read.isErr) {
    return problemsResult(read.error);
  }
  const { objects, source } = read.value;
  const before = await publishedObjects(context);
  const problems = checkObjects(objects, {
    now: context.now(),
    source,
    ...(before && { before }),
  });
  if (problems.length > 0) {
    return problemsResult(problems);
  }
  const counts = Object.entries(objects)
    .map(([kind, list]) => `${list.length} ${kind}`).join(", ");
  return {
    exitCode: EXIT_CODE.ok,
    text: [`${file}: no problems (${counts})`],
    json: { problems: [] },
  };
}

/** Reads a configuration file and validates it against the schema. */
export function readObjectsFile(file: string): Result<ObjectsFile, Problem[]> {
  return readObjects(readText(file), file);
}

async function publishedObjects(
  context: Context,
): Promise<ConfigurationObjects | undefined> {
  if (context.store === undefined) {
    return undefined;
  }
  const published = await readPublished(context.store);
  return published.isOk ? published.value.snapshot?.objects : undefined;
}
