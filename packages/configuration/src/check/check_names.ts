/** No two objects of a kind may share a name. @module */
import { KINDS, objectIdentity } from "../kinds.ts";
import type { ConfigurationObjects } from "../objects.ts";
import type { Findings } from "./findings.ts";

/** Two objects with one name would leave open which of them holds. */
export function checkNames(
  objects: ConfigurationObjects,
  findings: Findings,
): void {
  for (const kind of KINDS) {
    findings.addRepeated({
      entries: objects[kind].map((object, index) => ({
        path: [kind, index, "name"],
        key: objectIdentity(kind, object),
      })),
      what: "the name",
      mend: "rename one of the two or remove it",
    });
  }
}
