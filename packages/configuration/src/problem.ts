/** What is wrong with an operator's set of objects, and how to mend it. @module */

/** Where a value stands in the set, such as `["services", 0, "defaultTier"]`. */
export type ObjectPath = readonly (string | number)[];

/** One mistake. */
export type Problem = {
  file: string;
  /** Counted from 1; absent when the set came from no file. */
  line?: number;
  /** Such as `services/assistant`; empty for the file as a whole. */
  object: string;
  /** Such as `routes[0].path`; empty for the object as a whole. */
  field: string;
  detail: string;
  /** What the operator can do. */
  mend: string;
};

/** One line for people. */
export function describeProblem(problem: Problem): string {
  const place = problem.line === undefined
    ? problem.file
    : `${problem.file}:${problem.line}`;
  const subject = [problem.object, problem.field].filter((part) => part !== "");
  return [place, ...subject, `${problem.detail}. Mend: ${problem.mend}.`]
    .join(": ");
}

/** `["routes", 0, "path"]` as `routes[0].path`. */
export function fieldName(path: ObjectPath): string {
  return path.map((part, index) => {
    if (typeof part === "number") {
      return `[${part}]`;
    }
    return index === 0 ? part : `.${part}`;
  }).join("");
}
