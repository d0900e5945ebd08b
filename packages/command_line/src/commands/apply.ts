/** `apply`: checks a file and publishes it. @module */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import { publish, readPublished } from "@sycamorepulley/configuration";
import type { PublishResult } from "@sycamorepulley/configuration";
import type { KeyValueStore } from "@sycamorepulley/store";
import { readBaseRevision, removeBaseRevision } from "../base_revision.ts";
import { requireInstanceList, requireStore } from "../context.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { countInForce } from "../fleet/count_in_force.ts";
import { readFleet } from "../fleet/read_fleet.ts";
import { UsageError } from "../output/command_result.ts";
import type { CommandResult } from "../output/command_result.ts";
import { platformFailure } from "../output/platform_failure.ts";
import { problemsResult } from "../output/problems_result.ts";
import { publishFailure } from "../output/publish_failure.ts";
import { readObjectsFile } from "./check.ts";

/** Milliseconds between two reads of the fleet while waiting. */
const PAUSE_BETWEEN_READS = 500;

/** Options of {@link apply}. */
export type ApplyOptions = {
  /** Revision that the file is based on; by default from its first line. */
  base?: number;
  /** Id of an earlier publish that is repeated; by default a new one. */
  publishId?: string;
  /** Name of the publisher; by default the user's name. */
  by?: string;
  /** Longest wait for the file to be in force in every process, in seconds. */
  wait?: number;
};

/** Publishes a file based on a revision, and optionally waits for the fleet. */
export async function apply(
  context: Context,
  file: string,
  options: ApplyOptions,
): Promise<CommandResult> {
  const store = requireStore(context);
  if (options.wait !== undefined) {
    requireInstanceList(context);
  }
  const read = readObjectsFile(file);
  if (read.isErr) {
    return problemsResult(read.error);
  }
  const { source } = read.value;
  const base = options.base ?? readBaseRevision(source.text) ??
    await baseOfFirstPublish(store, file);
  if (typeof base !== "number") {
    return base;
  }
  const outcome = await publish({
    store,
    ...read.value,
    text: removeBaseRevision(source.text),
    baseRevision: base,
    publishId: options.publishId ?? randomUUID(),
    publishedBy: options.by ?? userInfo().username,
    now: context.now(),
  });
  if (outcome.isErr) {
    return publishFailure(outcome.error);
  }
  return options.wait === undefined
    ? publishedResult(outcome.value)
    : await waitUntilInForce(context, outcome.value, options.wait);
}

/**
 * The base revision of a file that states none: 0 if nothing is published yet.
 * Using the current revision instead would undo whatever others published since
 * the file was read.
 */
async function baseOfFirstPublish(
  store: KeyValueStore,
  file: string,
): Promise<number | CommandResult> {
  const published = await readPublished(store);
  if (published.isErr) {
    return publishFailure(published.error);
  }
  const { snapshot } = published.value;
  if (snapshot === undefined) {
    return 0;
  }
  throw new UsageError(
    `the revision that ${file} is based on is unknown: state it with ` +
      `--base N; revision ${snapshot.revision} is published (see diff)`,
  );
}

function publishedResult(published: PublishResult): CommandResult {
  const { snapshot, unchanged } = published;
  const { revision, publishId } = snapshot;
  const text = unchanged
    ? `nothing to change: revision ${revision} is published`
    : `published revision ${revision}`;
  return {
    exitCode: EXIT_CODE.ok,
    text: [text],
    json: { revision, publishId, unchanged },
  };
}

async function waitUntilInForce(
  context: Context,
  published: PublishResult,
  seconds: number,
): Promise<CommandResult> {
  const result = publishedResult(published);
  const { revision } = published.snapshot;
  const until = context.now() + seconds * 1000;
  for (;;) {
    const fleet = await readFleet(context);
    if (fleet.isErr) {
      const failure = platformFailure(fleet.error);
      return { ...failure, text: result.text };
    }
    const { inForce, answered } = countInForce(fleet.value, revision);
    const json = { ...result.json as object, inForce, answered };
    const text = [
      ...result.text,
      `in force in ${inForce} of ${answered} processes that answered`,
    ];
    if (inForce === answered && answered > 0) {
      return { exitCode: EXIT_CODE.ok, text, json };
    }
    if (context.now() >= until) {
      const warnings = [
        `not in force everywhere within ${seconds} s; see status`,
      ];
      return { exitCode: EXIT_CODE.unreachable, text, json, warnings };
    }
    await sleep(PAUSE_BETWEEN_READS);
  }
}
