/** Collects the findings of the checks. @module */
import { objectAt } from "../read_objects.ts";
import type { ConfigurationObjects } from "../objects.ts";
import { fieldName } from "../problem.ts";
import type { ObjectPath, Problem } from "../problem.ts";
import type { SourceFile } from "../source_file.ts";

/**
 * A problem found by a check; its line and object are derived from the path.
 */
export type Finding = { path: ObjectPath; detail: string; mend: string };

/** Converts findings to problems with file, line, object and field. */
export class Findings {
  readonly problems: Problem[] = [];
  readonly #objects: ConfigurationObjects;
  readonly #source: SourceFile | undefined;

  constructor(objects: ConfigurationObjects, source: SourceFile | undefined) {
    this.#objects = objects;
    this.#source = source;
  }

  add(finding: Finding): void {
    const { path, detail, mend } = finding;
    this.problems.push({
      file: this.#source?.file ?? "objects",
      ...(this.#source && { line: this.#source.lineOf(path) }),
      object: objectAt(this.#objects, path),
      field: fieldName(path.slice(2)),
      detail,
      mend,
    });
  }

  /** Adds a finding if `name` is not one of the `known` names. */
  addDanglingReference(
    options: {
      path: ObjectPath;
      kind: string;
      name: string;
      known: Set<string>;
    },
  ): void {
    const { path, kind, name, known } = options;
    if (known.has(name)) {
      return;
    }
    const names = [...known].slice(0, 8).join(", ") || "none yet";
    this.add({
      path,
      detail: `there is no ${kind} "${name}"`,
      mend: `add the ${kind} or name one that exists (${names})`,
    });
  }

  /**
   * Adds a finding for each entry whose key an earlier entry has. `what` is the
   * kind of value and `holder` the object that has it, as shown in the message.
   */
  addDuplicates(
    options: {
      entries: { path: ObjectPath; key: string; holder?: string }[];
      what: string;
      mend: string;
    },
  ): void {
    const first = new Map<string, string>();
    for (const { path, key, holder } of options.entries) {
      const earlier = first.get(key);
      if (earlier === undefined) {
        first.set(key, holder ?? "");
        continue;
      }
      const usedBy = earlier === "" ? "" : ` by ${earlier}`;
      const detail = `${options.what} is already used${usedBy}`;
      this.add({ path, detail, mend: options.mend });
    }
  }
}
