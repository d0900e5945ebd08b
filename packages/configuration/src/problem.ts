/**
 * Problems in an operator's configuration, each with a suggested fix.
 * @module
 */

/** Path of a value, such as `["services", 0, "defaultTier"]`. */
export type ObjectPath = readonly (string | number)[];

/** One problem in a configuration. */
export type Problem = {
  file: string;
  /** Line number from 1; absent if there is no file. */
  line?: number;
  /** Identity such as `services/assistant`; empty for the file as a whole. */
  object: string;
  /** Field such as `routes[0].path`; empty for the object as a whole. */
  field: string;
  detail: string;
  /** How the operator can fix it. */
  mend: string;
};

/** Formats a problem as one line of text. */
export function describeProblem(problem: Problem): string {
  const place = problem.line === undefined
    ? problem.file
    : `${problem.file}:${problem.line}`;
  const subject = [problem.object, problem.field].filter((part) => part !== "");
  return [place, ...subject, `${problem.detail}. Mend: ${problem.mend}.`]
    .join(": ");
}

/** Formats a path, for instance `["routes", 0, "path"]` as `routes[0].path`. */
export function fieldName(path: ObjectPath): string {
  return path.map((part, index) => {
    if (typeof part === "number") {
      return `[${part}]`;
    }
    return index === 0 ? part : `.${part}`;
  }).join("");
}
