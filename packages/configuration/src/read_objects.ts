/**
 * Reads an operator's configuration file (JSON with comments and trailing
 * commas) and reports problems with their lines.
 * @module
 */
import { getNodeValue, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { Result } from "true-myth/result";
import * as v from "valibot";
import { KINDS, objectIdentity } from "./kinds.ts";
import type { Kind, NamedObject } from "./kinds.ts";
import { objectsSchema } from "./objects.ts";
import type { ConfigurationObjects } from "./objects.ts";
import { fieldName } from "./problem.ts";
import type { ObjectPath, Problem } from "./problem.ts";
import { SourceFile } from "./source_file.ts";

/**
 * A file that matches the schema; references between objects are not checked.
 */
export type ObjectsFile = { objects: ConfigurationObjects; source: SourceFile };

/** Parses `text` and validates it; `file` is the name shown in problems. */
export function readObjects(
  text: string,
  file: string,
): Result<ObjectsFile, Problem[]> {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const source = new SourceFile({ file, text, ...(root && { root }) });
  if (root === undefined || errors.length > 0) {
    return Result.err(syntaxProblems(source, errors));
  }
  const value: unknown = getNodeValue(root);
  const duplicates = duplicateFields(source, root, value);
  const parsed = v.safeParse(objectsSchema, value);
  if (!parsed.success) {
    const schemaProblems = parsed.issues.map((issue) =>
      schemaProblem({ source, value, issue })
    );
    return Result.err([...duplicates, ...schemaProblems]);
  }
  return duplicates.length > 0
    ? Result.err(duplicates)
    : Result.ok({ objects: parsed.output, source });
}

/**
 * Identity of the object that a path leads into, such as `tiers/urgent`; empty
 * if it leads into none. `value` need not match the schema.
 */
export function objectAt(value: unknown, path: ObjectPath): string {
  const [kind, index] = path;
  if (!KINDS.includes(kind as Kind) || typeof index !== "number") {
    return "";
  }
  const object = (value as Record<string, unknown[] | undefined>)[String(kind)]
    ?.[index] as { name?: unknown } | undefined;
  return typeof object?.name === "string"
    ? objectIdentity(kind as Kind, object as NamedObject)
    : `${kind}[${index}]`;
}

function syntaxProblems(source: SourceFile, errors: ParseError[]): Problem[] {
  if (errors.length === 0) {
    return [{
      file: source.file,
      line: 1,
      object: "",
      field: "",
      detail: "the file is empty",
      mend: "write an object with services, tiers and organisations",
    }];
  }
  return errors.map((error) => ({
    file: source.file,
    line: source.lineAt(error.offset),
    object: "",
    field: "",
    detail: `not JSON with comments (${printParseErrorCode(error.error)})`,
    mend: "correct the syntax at this line or just before it",
  }));
}

function schemaProblem(
  options: {
    source: SourceFile;
    value: unknown;
    issue: v.InferIssue<typeof objectsSchema>;
  },
): Problem {
  const { source, value, issue } = options;
  const path = (issue.path ?? []).map((item) => item.key as string | number);
  const place = {
    file: source.file,
    line: source.lineOf(path),
    object: objectAt(value, path),
    field: fieldName(path.slice(2)),
  };
  const field = path.at(-1);
  if (issue.type === "strict_object" && issue.expected === "never") {
    const detail = `there is no field "${field}"`;
    return { ...place, detail, mend: "remove it or correct its spelling" };
  }
  if (issue.type === "strict_object" && issue.received === "undefined") {
    return { ...place, detail: "missing", mend: `add "${field}"` };
  }
  return { ...place, detail: issue.message, mend: mendFor(issue.expected) };
}

function mendFor(expected: string | null): string {
  return expected === null
    ? "write a value as the message says"
    : `expected is ${expected}`;
}

/**
 * Reports duplicate fields. JSON parsers keep the last one only, so a second
 * `services` list would silently remove every service of the first.
 */
function duplicateFields(
  source: SourceFile,
  root: Node,
  value: unknown,
): Problem[] {
  const problems: Problem[] = [];
  visitDuplicates(root, [], (path, node) => {
    problems.push({
      file: source.file,
      line: source.lineAt(node.offset),
      object: objectAt(value, path),
      field: fieldName(path.length > 2 ? path.slice(2) : path),
      detail: "the field is defined a second time here",
      mend: "keep one of the two, or merge their contents",
    });
  });
  return problems;
}

function visitDuplicates(
  node: Node,
  path: ObjectPath,
  onDuplicate: (path: ObjectPath, node: Node) => void,
): void {
  const seen = new Set<string>();
  node.children?.forEach((child, index) => {
    if (node.type !== "object") {
      visitDuplicates(child, [...path, index], onDuplicate);
      return;
    }
    const [key, value] = child.children ?? [];
    const name = String(key?.value);
    if (seen.has(name)) {
      onDuplicate([...path, name], child);
    }
    seen.add(name);
    if (value !== undefined) {
      visitDuplicates(value, [...path, name], onDuplicate);
    }
  });
}
