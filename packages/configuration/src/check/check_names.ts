/** Checks that names are unique. @module */
import { KINDS, objectIdentity } from "../kinds.ts";
import type { ConfigurationObjects } from "../objects.ts";
import type { Findings } from "./findings.ts";

/**
 * With two objects of one kind and name it would be ambiguous which applies.
 */
export function checkNames(
  objects: ConfigurationObjects,
  findings: Findings,
): void {
  for (const kind of KINDS) {
    findings.addDuplicates({
      entries: objects[kind].map((object, index) => ({
        path: [kind, index, "name"],
        key: objectIdentity(kind, object),
      })),
      what: "the name",
      mend: "rename one of the two or remove it",
    });
  }
}
