/** Why a set was not published, or may not have been. @module */
import type { PlatformError } from "@sycamorepulley/store";
import type { ObjectChange } from "./diff_objects.ts";
import type { Problem } from "./problem.ts";
import type { Publication } from "./snapshot.ts";

/** Somebody published since the base was read. */
export type PublishConflict = {
  kind: "conflict";
  baseRevision: number;
  currentRevision: number;
  /** Publications after the base, oldest first, as far as they are kept. */
  publications: Publication[];
  /** What publishing the offered set would have changed in the current one. */
  difference: ObjectChange[];
};

/**
 * `problems`: the set is inconsistent. `malformed`: the stored value is not a
 * manifest. `not_published`: certainly without effect. `unknown`: the write's
 * answer was lost and could not be resolved; publishing again with the same
 * publish id is safe.
 */
export type PublishError =
  | PublishConflict
  | { kind: "problems"; problems: Problem[] }
  | { kind: "malformed"; detail: string }
  | { kind: "not_published"; error: PlatformError }
  | { kind: "unknown"; error: PlatformError; publishId: string };
