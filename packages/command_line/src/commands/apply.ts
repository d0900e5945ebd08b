/** `apply`: checks a file and publishes it. @module */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import { publish, readPublished } from "@sycamorepulley/configuration";
import type { PublishResult } from "@sycamorepulley/configuration";
import type { KeyValueStore } from "@sycamorepulley/store";
import { baseIn, withoutBase } from "../base_revision.ts";
import { requiredInstanceList, requiredStore } from "../context.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { countInForce } from "../fleet/count_in_force.ts";
import { readFleet } from "../fleet/read_fleet.ts";
import { UsageError } from "../output/command_result.ts";
import type { CommandResult } from "../output/command_result.ts";
import { platformFailure } from "../output/platform_failure.ts";
import { problemsResult } from "../output/problems_result.ts";
import { publishFailure } from "../output/publish_failure.ts";
import { readFile } from "./check.ts";

const PAUSE_BETWEEN_READS = 500;

/** Options of the command. */
export type ApplyOptions = {
  base?: number;
  publishId?: string;
  by?: string;
  /** Seconds to wait until the set is in force in every process. */
  wait?: number;
};

/** Publishes a file based on a revision, and optionally waits for the fleet. */
export async function apply(
  context: Context,
  file: string,
  options: ApplyOptions,
): Promise<CommandResult> {
  const store = requiredStore(context);
  if (options.wait !== undefined) {
    requiredInstanceList(context);
  }
  const read = readFile(file);
  if (read.isErr) {
    return problemsResult(read.error);
  }
  const { source } = read.value;
  const base = options.base ?? baseIn(source.text) ??
    await baseOfFirstPublish(store, file);
  if (typeof base !== "number") {
    return base;
  }
  const outcome = await publish({
    store,
    ...read.value,
    text: withoutBase(source.text),
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
 * Without a base only a first publish is safe: the current revision in its
 * place would undo whatever others published since the file was read.
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
    `which revision was ${file} made from? State it with --base N; ` +
      `published is ${snapshot.revision} (see diff)`,
  );
}

function publishedResult(published: PublishResult): CommandResult {
  const { snapshot, unchanged } = published;
  const { revision, publishId } = snapshot;
  const text = unchanged
    ? `nothing to change: published is revision ${revision}`
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
