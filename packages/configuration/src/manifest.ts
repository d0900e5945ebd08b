/**
 * Encodes the manifest: the value in the key-value service that holds the
 * published configuration and its history. Large configurations are compressed,
 * since the service limits a value to 1 MiB.
 * @module
 */
import { gunzipSync, gzipSync } from "node:zlib";
import { Result } from "true-myth/result";
import * as v from "valibot";
import { parseObjects } from "./parse_objects.ts";
import type { Publication, Snapshot } from "./snapshot.ts";

/** Key of the manifest in the key-value service. */
export const MANIFEST_KEY = "configuration/manifest";

/** Longest source that is stored uncompressed. */
const MAX_PLAIN_SOURCE_BYTES = 64 * 1024;
/** Longest source that is decompressed. */
const MAX_SOURCE_BYTES = 16 * 1024 * 1024;
/** Number of publications that are kept. */
const MAX_HISTORY_LENGTH = 32;
/** Number of changed objects that are kept for each publication. */
const MAX_CHANGES_LENGTH = 50;

const nonNegativeInteger = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const publicationSchema = v.object({
  revision: nonNegativeInteger,
  publishId: v.string(),
  publishedBy: v.string(),
  publishedAt: v.number(),
  changes: v.array(v.string()),
});
const manifestSchema = v.object({
  history: v.pipe(v.array(publicationSchema), v.minLength(1)),
  encoding: v.picklist(["plain", "gzip"]),
  /** The operator's file with its comments. */
  source: v.string(),
});

/** Encodes the operator's file and the history of publications, latest last. */
export function encodeManifest(
  options: { history: Publication[]; source: string },
): string {
  const history = options.history.slice(-MAX_HISTORY_LENGTH)
    .map((publication) => ({
      ...publication,
      changes: publication.changes.slice(0, MAX_CHANGES_LENGTH),
    }));
  const plain = Buffer.byteLength(options.source) <= MAX_PLAIN_SOURCE_BYTES;
  const source = plain
    ? options.source
    : gzipSync(options.source).toString("base64");
  return JSON.stringify({
    history,
    encoding: plain ? "plain" : "gzip",
    source,
  });
}

/** Decodes a stored value; the error describes why it can't be read. */
export function decodeManifest(text: string): Result<Snapshot, string> {
  const manifest = parseManifest(text);
  const latest = manifest?.history.at(-1);
  if (manifest === undefined || latest === undefined) {
    return Result.err("the value is not a manifest");
  }
  const source = sourceOf(manifest);
  if (source === undefined) {
    return Result.err("the manifest's text can't be decompressed");
  }
  const objects = parseObjects(source);
  if (objects.isErr) {
    return Result.err(objects.error);
  }
  const { revision, publishId, publishedBy, publishedAt } = latest;
  return Result.ok({
    revision,
    publishId,
    publishedBy,
    publishedAt,
    history: manifest.history,
    objects: objects.value,
    text,
  });
}

/** The operator's file as it was published, with its comments. */
export function publishedSource(snapshot: Snapshot): string {
  const manifest = parseManifest(snapshot.text);
  return (manifest && sourceOf(manifest)) ?? "";
}

function parseManifest(
  text: string,
): v.InferOutput<typeof manifestSchema> | undefined {
  try {
    return v.parse(manifestSchema, JSON.parse(text));
  } catch {
    return undefined;
  }
}

function sourceOf(
  manifest: v.InferOutput<typeof manifestSchema>,
): string | undefined {
  if (manifest.encoding === "plain") {
    return manifest.source;
  }
  try {
    const compressed = Buffer.from(manifest.source, "base64");
    const options = { maxOutputLength: MAX_SOURCE_BYTES };
    return gunzipSync(compressed, options).toString("utf8");
  } catch {
    return undefined;
  }
}
