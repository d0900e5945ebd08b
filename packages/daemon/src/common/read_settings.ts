/** Reads and validates a settings file. @module */
import { readFileSync } from "node:fs";
import { getNodeValue, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { findNodeAtLocation } from "jsonc-parser";
import Result from "true-myth/result";
import * as v from "valibot";
import { settingsSchema } from "./settings.ts";
import type { Settings } from "./settings.ts";

/** An error in a settings file; `line` counts from 1. */
export type SettingsProblem = {
  file: string;
  line: number;
  field: string;
  message: string;
};

/** Formats a problem as one line: file, line, field and what to change. */
export function describeProblem(problem: SettingsProblem): string {
  const { file, line, field, message } = problem;
  const fieldPrefix = field === "" ? "" : `${field}: `;
  return `${file}:${line}: ${fieldPrefix}${message}`;
}

/** Returns the settings in the file at `path`, or all its problems. */
export function readSettings(
  path: string,
): Result<Settings, SettingsProblem[]> {
  try {
    return parseSettings(readFileSync(path, "utf8"), path);
  } catch (error) {
    return Result.err([{
      file: path,
      line: 1,
      field: "",
      message: `can't be read (${(error as Error).message}); ` +
        "pass the path of a settings file with --settings",
    }]);
  }
}

/**
 * Returns the settings in `text`, or all its problems; `file` is the name that
 * the problems state.
 */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, SettingsProblem[]> {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || root === undefined) {
    return Result.err(syntaxProblems(text, file, errors));
  }
  const parsed = v.safeParse(settingsSchema, getNodeValue(root));
  if (parsed.success) return Result.ok(parsed.output);
  return Result.err(
    parsed.issues.map((issue) => schemaProblem({ text, file, root, issue })),
  );
}

function syntaxProblems(
  text: string,
  file: string,
  errors: ParseError[],
): SettingsProblem[] {
  if (errors.length === 0) {
    return [{ file, line: 1, field: "", message: "the file is empty" }];
  }
  return errors.map((error) => ({
    file,
    line: lineNumberAt(text, error.offset),
    field: "",
    message: `not JSON with comments: ${printParseErrorCode(error.error)}`,
  }));
}

function schemaProblem(
  options: {
    text: string;
    file: string;
    root: Node;
    issue: v.BaseIssue<unknown>;
  },
): SettingsProblem {
  const { text, file, root, issue } = options;
  const keys = (issue.path ?? []).map((item) => item.key as string | number);
  return {
    file,
    line: lineNumberAt(text, deepestNode(root, keys).offset),
    field: keys.join("."),
    message: issue.message,
  };
}

/**
 * Returns the node of the field at `keys` or, if the field is missing, of its
 * nearest ancestor that exists.
 */
function deepestNode(root: Node, keys: (string | number)[]): Node {
  for (let length = keys.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, keys.slice(0, length));
    if (node) return node;
  }
  return root;
}

function lineNumberAt(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}
