/** `get`: prints the published configuration, or objects of it. @module */
import {
  KINDS,
  objectIdentity,
  publishedSource,
  readPublished,
} from "@sycamorepulley/configuration";
import type {
  Kind,
  NamedObject,
  Snapshot,
} from "@sycamorepulley/configuration";
import { addBaseRevision } from "../base_revision.ts";
import { requireStore } from "../context.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { UsageError } from "../output/command_result.ts";
import type { CommandResult } from "../output/command_result.ts";
import { publishFailure } from "../output/publish_failure.ts";

/**
 * Prints one object, the names of a kind, or the operator's file as published.
 */
export async function get(
  context: Context,
  kind: string | undefined,
  name: string | undefined,
): Promise<CommandResult> {
  if (kind !== undefined && !KINDS.includes(kind as Kind)) {
    throw new UsageError(
      `there is no kind "${kind}"; ask for ${KINDS.join(", ")}`,
    );
  }
  const published = await readPublished(requireStore(context));
  if (published.isErr) {
    return publishFailure(published.error);
  }
  const { snapshot } = published.value;
  if (snapshot === undefined) {
    return notFoundResult(
      "nothing is published yet; publish a file with apply",
    );
  }
  if (kind === undefined) {
    return configurationResult(snapshot);
  }
  return name === undefined
    ? listResult(snapshot, kind as Kind)
    : objectResult(snapshot, kind as Kind, name);
}

function configurationResult(snapshot: Snapshot): CommandResult {
  const { revision, publishId, publishedBy, publishedAt, objects } = snapshot;
  const text = addBaseRevision(publishedSource(snapshot), revision).trimEnd();
  return {
    exitCode: EXIT_CODE.ok,
    text: [text],
    json: { revision, publishId, publishedBy, publishedAt, objects },
  };
}

function listResult(snapshot: Snapshot, kind: Kind): CommandResult {
  const objects: NamedObject[] = snapshot.objects[kind];
  return {
    exitCode: EXIT_CODE.ok,
    text: objects.map((object) => nameWithinKind(kind, object)),
    json: { revision: snapshot.revision, [kind]: objects },
  };
}

function objectResult(
  snapshot: Snapshot,
  kind: Kind,
  name: string,
): CommandResult {
  const objects: NamedObject[] = snapshot.objects[kind];
  const object = objects.find((object) =>
    nameWithinKind(kind, object) === name
  );
  if (object === undefined) {
    const names = objects.map((object) => nameWithinKind(kind, object));
    return notFoundResult(
      `there is no ${kind}/${name}; there are: ${names.join(", ") || "none"}`,
    );
  }
  return {
    exitCode: EXIT_CODE.ok,
    text: [JSON.stringify(object, null, 2)],
    json: { revision: snapshot.revision, object },
  };
}

function nameWithinKind(kind: Kind, object: NamedObject): string {
  return objectIdentity(kind, object).slice(kind.length + 1);
}

function notFoundResult(detail: string): CommandResult {
  return {
    exitCode: EXIT_CODE.refused,
    text: [],
    warnings: [detail],
    json: { error: { detail } },
  };
}
