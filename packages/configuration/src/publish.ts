/**
 * Publishes a configuration by one compare-and-swap of the manifest.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Result } from "true-myth/result";
import type {
  KeyValueEntry,
  KeyValueStore,
  PlatformError,
} from "@sycamorepulley/store";
import { checkObjects } from "./check/check_objects.ts";
import { diffObjects } from "./diff_objects.ts";
import {
  decodeManifest,
  encodeManifest,
  MANIFEST_KEY,
  publishedSource,
} from "./manifest.ts";
import { NO_OBJECTS } from "./objects.ts";
import type { ConfigurationObjects } from "./objects.ts";
import type { PublishError } from "./publish_error.ts";
import type { Snapshot } from "./snapshot.ts";
import type { SourceFile } from "./source_file.ts";

/** Number of times that a write is tried. */
const MAX_ATTEMPTS = 5;
/**
 * Pause after the first attempt, in milliseconds; grows by as much each time.
 */
const PAUSE_BETWEEN_ATTEMPTS = 300;

/** Options of {@link publish}. */
export type PublishOptions = {
  store: KeyValueStore;
  objects: ConfigurationObjects;
  /** The file that `objects` were read from; used for the lines of problems. */
  source?: SourceFile;
  /** Text to publish; by default the text of `source`. */
  text?: string;
  /** Revision that the operator edited; 0 for the first publish. */
  baseRevision: number;
  /** Unique id of this publish; a retry uses the same one. */
  publishId: string;
  /** Name of the publisher, shown to others in a conflict. */
  publishedBy?: string;
  /** Milliseconds since 1970. */
  now: number;
  /** Key of the manifest; by default {@link MANIFEST_KEY}. */
  key?: string;
  /** Waits for `duration` milliseconds between attempts; replaced in tests. */
  pause?: (duration: number) => Promise<void>;
};

/** The published snapshot; `unchanged` if it was published before this call. */
export type PublishResult = { snapshot: Snapshot; unchanged: boolean };

/** The manifest as read; both fields are absent before the first publish. */
type StoredConfiguration = {
  /** Era of the service in which it was read. */
  era: number;
  entry: KeyValueEntry | undefined;
  snapshot: Snapshot | undefined;
};

/**
 * Checks the whole configuration and publishes it, unless somebody else
 * published after the base revision.
 */
export async function publish(
  options: PublishOptions,
): Promise<Result<PublishResult, PublishError>> {
  const read = await readPublished(options.store, options.key);
  if (read.isErr) {
    return Result.err(read.error);
  }
  const current = read.value;
  const earlyResult = resultWithoutWrite(options, current.snapshot);
  if (earlyResult !== undefined) {
    return earlyResult;
  }
  const problems = checkObjects(options.objects, {
    now: options.now,
    ...(options.source && { source: options.source }),
    ...(current.snapshot && { before: current.snapshot.objects }),
  });
  if (problems.length > 0) {
    return Result.err({ kind: "problems", problems });
  }
  const source = textToPublish(options);
  if (current.snapshot && publishedSource(current.snapshot) === source) {
    return Result.ok({ snapshot: current.snapshot, unchanged: true });
  }
  return writeManifest(
    options,
    current,
    createManifest(options, current.snapshot),
  );
}

/**
 * Reads the published configuration; `snapshot` is absent before the first
 * publish.
 */
export async function readPublished(
  store: KeyValueStore,
  key = MANIFEST_KEY,
): Promise<Result<StoredConfiguration, PublishError>> {
  const entry = await store.get(key);
  if (entry.isErr) {
    return Result.err({ kind: "not_published", error: entry.error });
  }
  const { era } = store;
  if (entry.value === undefined) {
    return Result.ok({ era, entry: undefined, snapshot: undefined });
  }
  const snapshot = decodeManifest(entry.value.value);
  return snapshot.isErr
    ? Result.err({ kind: "malformed", detail: snapshot.error })
    : Result.ok({ era, entry: entry.value, snapshot: snapshot.value });
}

/**
 * The next revision: higher than the base, and at least the current time in
 * milliseconds. A plain counter would assign the same revisions again after the
 * key-value service was restored to an older state, and processes that still
 * have a lost configuration in force would reject the new one. This holds if
 * the clocks of publishers differ by at most the time between the last lost
 * publish and the first publish after the restore.
 */
export function nextRevision(baseRevision: number, now: number): number {
  return Math.max(baseRevision + 1, Math.floor(now));
}

function resultWithoutWrite(
  options: PublishOptions,
  current: Snapshot | undefined,
): Result<PublishResult, PublishError> | undefined {
  if (current !== undefined && wasPublished(current, options.publishId)) {
    return Result.ok({ snapshot: current, unchanged: true });
  }
  return (current?.revision ?? 0) === options.baseRevision
    ? undefined
    : Result.err(createConflict(options, current));
}

function wasPublished(current: Snapshot, publishId: string): boolean {
  return current.history.some((publication) =>
    publication.publishId === publishId
  );
}

function createConflict(
  options: PublishOptions,
  current: Snapshot | undefined,
): PublishError {
  const { baseRevision, objects } = options;
  return {
    kind: "conflict",
    baseRevision,
    currentRevision: current?.revision ?? 0,
    publications: (current?.history ?? []).filter((publication) =>
      publication.revision > baseRevision
    ),
    difference: diffObjects(current?.objects ?? NO_OBJECTS, objects),
  };
}

function textToPublish(options: PublishOptions): string {
  return options.text ?? options.source?.text ??
    JSON.stringify(options.objects, null, 2);
}

function createManifest(
  options: PublishOptions,
  current: Snapshot | undefined,
): string {
  const changes = diffObjects(current?.objects ?? NO_OBJECTS, options.objects);
  const publication = {
    revision: nextRevision(options.baseRevision, options.now),
    publishId: options.publishId,
    publishedBy: options.publishedBy ?? "unnamed operator",
    publishedAt: options.now,
    changes: changes.map((change) => change.object),
  };
  return encodeManifest({
    history: [...current?.history ?? [], publication],
    source: textToPublish(options),
  });
}

/**
 * Writes the manifest, and repeats the write if its outcome is unknown. A write
 * whose response was lost may have taken effect, or may still be under way and
 * take effect after a read. Repeating the same compare-and-swap resolves this:
 * all attempts expect the same revision, so at most one takes effect, and a
 * rejected one returns the current value with the publish id of the write that
 * succeeded.
 */
async function writeManifest(
  options: PublishOptions,
  current: StoredConfiguration,
  value: string,
): Promise<Result<PublishResult, PublishError>> {
  const pause = options.pause ?? ((duration) => sleep(duration));
  let ambiguousError: PlatformError | undefined;
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const outcome = await options.store.compareAndSwap({
      key: options.key ?? MANIFEST_KEY,
      expected: current.entry?.revision ?? 0,
      era: current.era,
      value,
    });
    if (outcome.isOk) {
      return outcome.value.swapped
        ? resultOfStoredValue(value, options)
        : resultOfStoredValue(outcome.value.current?.value, options);
    }
    if (outcome.error.applied === "no" && ambiguousError === undefined) {
      return Result.err({ kind: "not_published", error: outcome.error });
    }
    ambiguousError = outcome.error.applied === "unknown"
      ? outcome.error
      : ambiguousError;
    await pause(PAUSE_BETWEEN_ATTEMPTS * attempt);
  }
  return Result.err({
    kind: "unknown",
    error: ambiguousError as PlatformError,
    publishId: options.publishId,
  });
}

/**
 * The result of a publish after which the key-value service holds `value`: a
 * success if its history contains the publish, otherwise a conflict.
 */
function resultOfStoredValue(
  value: string | undefined,
  options: PublishOptions,
): Result<PublishResult, PublishError> {
  if (value === undefined) {
    return Result.err(createConflict(options, undefined));
  }
  const snapshot = decodeManifest(value);
  if (snapshot.isErr) {
    return Result.err({ kind: "malformed", detail: snapshot.error });
  }
  return wasPublished(snapshot.value, options.publishId)
    ? Result.ok({ snapshot: snapshot.value, unchanged: false })
    : Result.err(createConflict(options, snapshot.value));
}
