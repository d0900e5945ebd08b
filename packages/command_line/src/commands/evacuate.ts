/** `evacuate`: orders or ends the evacuation of a data centre. @module */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import {
  publish,
  publishedSource,
  readObjects,
  readPublished,
} from "@sycamorepulley/configuration";
import type { Snapshot } from "@sycamorepulley/configuration";
import { applyEdits, modify } from "jsonc-parser";
import { requireStore } from "../context.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import type { CommandResult } from "../output/command_result.ts";
import { problemsResult } from "../output/problems_result.ts";
import { publishFailure } from "../output/publish_failure.ts";

/** Options of {@link evacuate}. */
export type EvacuateOptions = {
  /** Ends the evacuation. */
  end: boolean;
  /** Shown to other operators. */
  reason?: string;
  /** Name of the publisher; by default the user's name. */
  by?: string;
};

/**
 * Adds the data centre to the evacuations of the published file, or removes it,
 * and publishes the file; its comments are kept.
 */
export async function evacuate(
  context: Context,
  dataCentre: string,
  options: EvacuateOptions,
): Promise<CommandResult> {
  const store = requireStore(context);
  const published = await readPublished(store);
  if (published.isErr) return publishFailure(published.error);
  const { snapshot } = published.value;
  if (snapshot === undefined) {
    return refusedResult("nothing is published yet; publish a file with apply");
  }
  const index = snapshot.objects.evacuations
    .findIndex(({ name }) => name === dataCentre);
  if (options.end === index < 0) return unchangedResult(dataCentre, options);
  const read = readObjects(
    editedSource(snapshot, { dataCentre, index, reason: options.reason }),
    "the published file",
  );
  if (read.isErr) return problemsResult(read.error);
  const outcome = await publish({
    store,
    ...read.value,
    baseRevision: snapshot.revision,
    publishId: randomUUID(),
    publishedBy: options.by ?? userInfo().username,
    now: context.now(),
  });
  if (outcome.isErr) return publishFailure(outcome.error);
  const { revision } = outcome.value.snapshot;
  const change = options.end ? "is used again" : "is evacuated";
  return {
    exitCode: EXIT_CODE.ok,
    text: [`${dataCentre} ${change} from revision ${revision} on`],
    json: { revision, dataCentre, evacuated: !options.end },
  };
}

/** Removes the entry at `index`, or appends one if there is none. */
function editedSource(
  snapshot: Snapshot,
  { dataCentre, index, reason }: {
    dataCentre: string;
    index: number;
    reason: string | undefined;
  },
): string {
  const source = publishedSource(snapshot);
  const evacuation = {
    name: dataCentre,
    ...(reason !== undefined && { reason }),
  };
  const edits = index < 0
    ? modify(source, ["evacuations", -1], evacuation, {
      isArrayInsertion: true,
      formattingOptions: { insertSpaces: true, tabSize: 2 },
    })
    : modify(source, ["evacuations", index], undefined, {});
  return applyEdits(source, edits);
}

function unchangedResult(
  dataCentre: string,
  { end }: EvacuateOptions,
): CommandResult {
  const state = end ? "not evacuated" : "evacuated already";
  return {
    exitCode: EXIT_CODE.ok,
    text: [`nothing to change: ${dataCentre} is ${state}`],
    json: { dataCentre, evacuated: !end, unchanged: true },
  };
}

function refusedResult(detail: string): CommandResult {
  return {
    exitCode: EXIT_CODE.refused,
    text: [],
    warnings: [detail],
    json: { error: { detail } },
  };
}
