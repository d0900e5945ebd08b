/** Compares two configurations object by object. @module */
import { isDeepStrictEqual } from "node:util";
import { KINDS, objectIdentity } from "./kinds.ts";
import type { NamedObject } from "./kinds.ts";
import type { ConfigurationObjects } from "./objects.ts";

/** A changed field; an absent value is `undefined`. */
export type FieldChange = { field: string; before: unknown; after: unknown };

/** An object that was added, removed or changed. */
export type ObjectChange = {
  /** Identity such as `services/assistant`. */
  object: string;
  change: "added" | "removed" | "changed";
  /** Empty unless the object was changed. */
  fields: FieldChange[];
};

/** The changes from `before` to `after`; the order of objects is ignored. */
export function diffObjects(
  before: ConfigurationObjects,
  after: ConfigurationObjects,
): ObjectChange[] {
  const changes: ObjectChange[] = [];
  const old = objectsByIdentity(before);
  for (const [object, value] of objectsByIdentity(after)) {
    const earlier = old.get(object);
    old.delete(object);
    if (earlier === undefined) {
      changes.push({ object, change: "added", fields: [] });
    } else if (!isDeepStrictEqual(earlier, value)) {
      const fields = changedFields(earlier, value);
      changes.push({ object, change: "changed", fields });
    }
  }
  for (const object of old.keys()) {
    changes.push({ object, change: "removed", fields: [] });
  }
  return changes;
}

function objectsByIdentity(
  objects: ConfigurationObjects,
): Map<string, NamedObject> {
  return new Map(
    KINDS.flatMap((kind) =>
      objects[kind].map((object): [string, NamedObject] => [
        objectIdentity(kind, object),
        object,
      ])
    ),
  );
}

function changedFields(before: NamedObject, after: NamedObject): FieldChange[] {
  const old = new Map<string, unknown>(Object.entries(before));
  const current = new Map<string, unknown>(Object.entries(after));
  return [...new Set([...old.keys(), ...current.keys()])]
    .map((field) => ({
      field,
      before: old.get(field),
      after: current.get(field),
    }))
    .filter((change) => !isDeepStrictEqual(change.before, change.after));
}
