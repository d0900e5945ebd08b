/** Why a configuration was not published, or possibly was not. @module */
import type { PlatformError } from "@sycamorepulley/store";
import type { ObjectChange } from "./diff_objects.ts";
import type { Problem } from "./problem.ts";
import type { Publication } from "./snapshot.ts";

/** Somebody else published after the base revision. */
export type PublishConflict = {
  kind: "conflict";
  baseRevision: number;
  currentRevision: number;
  /**
   * Publications after the base, oldest first, as far as the history is kept.
   */
  publications: Publication[];
  /** Changes from the published configuration to the one to be published. */
  difference: ObjectChange[];
};

/**
 * Why a publish failed:
 * - `conflict`: somebody else published after the base revision.
 * - `problems`: the configuration is inconsistent.
 * - `malformed`: the stored value is not a manifest.
 * - `not_published`: a call failed and certainly had no effect.
 * - `unknown`: the response to the write was lost, and repeating it did not
 *   resolve whether it took effect. Publishing again with the same publish id
 *   is safe.
 */
export type PublishError =
  | PublishConflict
  | { kind: "problems"; problems: Problem[] }
  | { kind: "malformed"; detail: string }
  | { kind: "not_published"; error: PlatformError }
  | { kind: "unknown"; error: PlatformError; publishId: string };
