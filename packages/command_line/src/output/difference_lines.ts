/** Differences between two sets, for people. @module */
import type { ObjectChange } from "@sycamorepulley/configuration";

const SIGNS = { added: "+", removed: "-", changed: "~" } as const;
const SHOWN_LENGTH = 100;

/** One line for each object, and below it one for each changed field. */
export function differenceLines(changes: ObjectChange[]): string[] {
  return changes.flatMap((change) => [
    `${SIGNS[change.change]} ${change.object}`,
    ...change.fields.map((field) =>
      `    ${field.field}: ${shown(field.before)} -> ${shown(field.after)}`
    ),
  ]);
}

function shown(value: unknown): string {
  const text = value === undefined ? "(absent)" : JSON.stringify(value);
  return text.length > SHOWN_LENGTH
    ? `${text.slice(0, SHOWN_LENGTH)}...`
    : text;
}
