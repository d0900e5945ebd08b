/** Reading and checking a settings file. @module */
import { readFileSync } from "node:fs";
import { getNodeValue, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { findNodeAtLocation } from "jsonc-parser";
import Result from "true-myth/result";
import * as v from "valibot";
import { settingsSchema } from "./settings.ts";
import type { Settings } from "./settings.ts";

/** One fault of a settings file; `line` counts from 1. */
export type SettingsProblem = {
  file: string;
  line: number;
  field: string;
  message: string;
};

/** One line for people: file, line, field and what to do. */
export function describeProblem(problem: SettingsProblem): string {
  const { file, line, field, message } = problem;
  const place = field === "" ? "" : `${field}: `;
  return `${file}:${line}: ${place}${message}`;
}

/** All problems of the file at `path`, or its settings. */
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

/** As {@link readSettings}, for text already read. */
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
    line: lineAt(text, error.offset),
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
    line: lineAt(text, nearestNode(root, keys).offset),
    field: keys.join("."),
    message: issue.message,
  };
}

/** The deepest node on the way to a field that may be missing. */
function nearestNode(root: Node, keys: (string | number)[]): Node {
  for (let length = keys.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, keys.slice(0, length));
    if (node) return node;
  }
  return root;
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}
