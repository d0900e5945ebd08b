/** `get`: the published set, a kind of objects or one of them. @module */
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
import { withBase } from "../base_revision.ts";
import { requiredStore } from "../context.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { UsageError } from "../output/command_result.ts";
import type { CommandResult } from "../output/command_result.ts";
import { publishFailure } from "../output/publish_failure.ts";

/** Prints what is published; the whole set is the operator's file itself. */
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
  const published = await readPublished(requiredStore(context));
  if (published.isErr) {
    return publishFailure(published.error);
  }
  const { snapshot } = published.value;
  if (snapshot === undefined) {
    return missing("nothing is published yet; publish a file with apply");
  }
  if (kind === undefined) {
    return whole(snapshot);
  }
  return name === undefined
    ? list(snapshot, kind as Kind)
    : one(snapshot, kind as Kind, name);
}

function whole(snapshot: Snapshot): CommandResult {
  const { revision, publishId, publishedBy, publishedAt, objects } = snapshot;
  const text = withBase(publishedSource(snapshot), revision).trimEnd();
  return {
    exitCode: EXIT_CODE.ok,
    text: [text],
    json: { revision, publishId, publishedBy, publishedAt, objects },
  };
}

function list(snapshot: Snapshot, kind: Kind): CommandResult {
  const objects: NamedObject[] = snapshot.objects[kind];
  return {
    exitCode: EXIT_CODE.ok,
    text: objects.map((object) => nameWithin(kind, object)),
    json: { revision: snapshot.revision, [kind]: objects },
  };
}

function one(snapshot: Snapshot, kind: Kind, name: string): CommandResult {
  const objects: NamedObject[] = snapshot.objects[kind];
  const object = objects.find((object) => nameWithin(kind, object) === name);
  if (object === undefined) {
    const names = objects.map((object) => nameWithin(kind, object));
    return missing(
      `there is no ${kind}/${name}; there are: ${names.join(", ") || "none"}`,
    );
  }
  return {
    exitCode: EXIT_CODE.ok,
    text: [JSON.stringify(object, null, 2)],
    json: { revision: snapshot.revision, object },
  };
}

function nameWithin(kind: Kind, object: NamedObject): string {
  return objectIdentity(kind, object).slice(kind.length + 1);
}

function missing(detail: string): CommandResult {
  return {
    exitCode: EXIT_CODE.refused,
    text: [],
    warnings: [detail],
    json: { error: { detail } },
  };
}
