/** Publishing a set by one compare-and-swap. @module */
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
import type { Source } from "./source.ts";

const ATTEMPTS = 5;
const PAUSE_BETWEEN_ATTEMPTS = 300;

/** What to publish and on what it is based. */
export type PublishOptions = {
  store: KeyValueStore;
  objects: ConfigurationObjects;
  /** The operator's file; gives problems their lines. */
  source?: Source;
  /** What to publish word for word; by default the operator's file. */
  text?: string;
  /** Revision that the operator edited; 0 for the first set. */
  baseRevision: number;
  /** Unique to this publish; keep it when trying again. */
  publishId: string;
  /** Who publishes, for others to read. */
  publishedBy?: string;
  /** Milliseconds since 1970. */
  now: number;
  key?: string;
  /** Waits between attempts, in milliseconds. */
  pause?: (duration: number) => Promise<void>;
};

/** The snapshot that is published now; `unchanged` when it already was. */
export type Published = { snapshot: Snapshot; unchanged: boolean };

type Current = {
  entry: KeyValueEntry | undefined;
  snapshot: Snapshot | undefined;
};

/** Checks the whole set and publishes it if nobody published since the base. */
export async function publish(
  options: PublishOptions,
): Promise<Result<Published, PublishError>> {
  const read = await readPublished(options.store, options.key);
  if (read.isErr) {
    return Result.err(read.error);
  }
  const current = read.value;
  const settled = settledAlready(options, current.snapshot);
  if (settled !== undefined) {
    return settled;
  }
  const problems = checkObjects(options.objects, {
    now: options.now,
    ...(options.source && { source: options.source }),
    ...(current.snapshot && { before: current.snapshot.objects }),
  });
  if (problems.length > 0) {
    return Result.err({ kind: "problems", problems });
  }
  const source = sourceText(options);
  if (current.snapshot && publishedSource(current.snapshot) === source) {
    return Result.ok({ snapshot: current.snapshot, unchanged: true });
  }
  return swap(options, current, nextManifest(options, current.snapshot));
}

/** Reads the published set; `snapshot` is absent before the first publish. */
export async function readPublished(
  store: KeyValueStore,
  key = MANIFEST_KEY,
): Promise<Result<Current, PublishError>> {
  const entry = await store.get(key);
  if (entry.isErr) {
    return Result.err({ kind: "not_published", error: entry.error });
  }
  if (entry.value === undefined) {
    return Result.ok({ entry: undefined, snapshot: undefined });
  }
  const snapshot = decodeManifest(entry.value.value);
  return snapshot.isErr
    ? Result.err({ kind: "malformed", detail: snapshot.error })
    : Result.ok({ entry: entry.value, snapshot: snapshot.value });
}

/**
 * The next revision: above the base, and at least the time in milliseconds. A
 * plain counter would repeat revisions after the service was restored to an
 * older state, and processes that still hold the lost ones would refuse the new
 * set. Publishers' clocks may differ by as much as passes between the last lost
 * publish and the first one after the restore.
 */
export function nextRevision(baseRevision: number, now: number): number {
  return Math.max(baseRevision + 1, Math.floor(now));
}

function settledAlready(
  options: PublishOptions,
  current: Snapshot | undefined,
): Result<Published, PublishError> | undefined {
  if (current !== undefined && wasPublished(current, options.publishId)) {
    return Result.ok({ snapshot: current, unchanged: true });
  }
  return (current?.revision ?? 0) === options.baseRevision
    ? undefined
    : Result.err(conflict(options, current));
}

function wasPublished(current: Snapshot, publishId: string): boolean {
  return current.history.some((publication) =>
    publication.publishId === publishId
  );
}

function conflict(
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

function sourceText(options: PublishOptions): string {
  return options.text ?? options.source?.text ??
    JSON.stringify(options.objects, null, 2);
}

function nextManifest(
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
    source: sourceText(options),
  });
}

/**
 * A lost answer may hide a write that took effect, or one that is still under
 * way and lands after a read. Sending the same swap again settles it: both name
 * the same expected revision, so at most one of them takes effect, and the
 * refused one brings back the value with the publish id of whoever won.
 */
async function swap(
  options: PublishOptions,
  current: Current,
  value: string,
): Promise<Result<Published, PublishError>> {
  const pause = options.pause ?? ((duration) => sleep(duration));
  let doubt: PlatformError | undefined;
  for (let attempt = 1; attempt <= ATTEMPTS; attempt += 1) {
    const outcome = await options.store.compareAndSwap({
      key: options.key ?? MANIFEST_KEY,
      expected: current.entry?.revision ?? 0,
      value,
    });
    if (outcome.isOk) {
      return outcome.value.swapped
        ? published(value, options)
        : published(outcome.value.current?.value, options);
    }
    if (outcome.error.applied === "no" && doubt === undefined) {
      return Result.err({ kind: "not_published", error: outcome.error });
    }
    doubt = outcome.error.applied === "unknown" ? outcome.error : doubt;
    await pause(PAUSE_BETWEEN_ATTEMPTS * attempt);
  }
  return Result.err({
    kind: "unknown",
    error: doubt as PlatformError,
    publishId: options.publishId,
  });
}

/** Whether the value now in the store is, or came after, this publish. */
function published(
  value: string | undefined,
  options: PublishOptions,
): Result<Published, PublishError> {
  if (value === undefined) {
    return Result.err(conflict(options, undefined));
  }
  const snapshot = decodeManifest(value);
  if (snapshot.isErr) {
    return Result.err({ kind: "malformed", detail: snapshot.error });
  }
  return wasPublished(snapshot.value, options.publishId)
    ? Result.ok({ snapshot: snapshot.value, unchanged: false })
    : Result.err(conflict(options, snapshot.value));
}
