/** `diff`: shows what publishing a file would change. @module */
import {
  diffObjects,
  NO_OBJECTS,
  readPublished,
} from "@sycamorepulley/configuration";
import { requireStore } from "../context.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import type { CommandResult } from "../output/command_result.ts";
import { differenceLines } from "../output/difference_lines.ts";
import { problemsResult } from "../output/problems_result.ts";
import { publishFailure } from "../output/publish_failure.ts";
import { readObjectsFile } from "./check.ts";

/** Compares a file with the published configuration, object by object. */
export async function diff(
  context: Context,
  file: string,
): Promise<CommandResult> {
  const read = readObjectsFile(file);
  if (read.isErr) {
    return problemsResult(read.error);
  }
  const published = await readPublished(requireStore(context));
  if (published.isErr) {
    return publishFailure(published.error);
  }
  const { snapshot } = published.value;
  const revision = snapshot?.revision ?? 0;
  const changes = diffObjects(
    snapshot?.objects ?? NO_OBJECTS,
    read.value.objects,
  );
  const summary = changes.length === 0
    ? `no differences from revision ${revision}`
    : `${changes.length} objects differ from revision ${revision}; ` +
      `publish with: apply ${file} --base ${revision}`;
  return {
    exitCode: EXIT_CODE.ok,
    text: [...differenceLines(changes), summary],
    json: { revision, changes },
  };
}
