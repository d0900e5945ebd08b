/** Reports a failed publish to the operator. @module */
import type {
  PublishConflict,
  PublishError,
} from "@sycamorepulley/configuration";
import { describePlatformError } from "@sycamorepulley/store";
import { EXIT_CODE } from "../exit_code.ts";
import type { CommandResult } from "./command_result.ts";
import { differenceLines } from "./difference_lines.ts";
import { platformFailure } from "./platform_failure.ts";
import { problemsResult } from "./problems_result.ts";

/** Says whether anything was changed, and what to do next. */
export function publishFailure(error: PublishError): CommandResult {
  switch (error.kind) {
    case "problems":
      return problemsResult(error.problems);
    case "conflict":
      return conflictResult(error);
    case "not_published":
      return platformFailure(error.error);
    case "malformed":
      return {
        exitCode: EXIT_CODE.refused,
        text: [],
        warnings: [
          `The published configuration can't be read (${error.detail}).`,
          "If a later release published it, use that release's command line.",
        ],
        json: { error },
      };
    case "unknown":
      return {
        exitCode: EXIT_CODE.unreachable,
        text: [],
        warnings: [
          `${describePlatformError(error.error)}.`,
          "The file may have been published. To find out, repeat the command with " +
          `--publish-id ${error.publishId}`,
        ],
        json: { error },
      };
  }
}

function conflictResult(conflict: PublishConflict): CommandResult {
  const { baseRevision, currentRevision, publications, difference } = conflict;
  const edits = publications.map((publication) => {
    const at = new Date(publication.publishedAt).toISOString();
    const objects = publication.changes.join(", ") || "no object";
    return `  ${publication.revision} by ${publication.publishedBy} ` +
      `at ${at}: ${objects}`;
  });
  return {
    exitCode: EXIT_CODE.conflict,
    text: [],
    warnings: [
      `Conflict: the base is ${baseRevision}, but ${currentRevision} is ` +
      "published. Nothing was changed. Published since the base:",
      ...(edits.length > 0 ? edits : ["  (not known)"]),
      "Your file would change in the published configuration:",
      ...differenceLines(difference).map((line) => `  ${line}`),
      "Merge the others' edits into your file (see get), then apply it with " +
      `--base ${currentRevision}`,
    ],
    json: { conflict },
  };
}
