/** Formats the differences between two configurations as text. @module */
import type { ObjectChange } from "@sycamorepulley/configuration";

const SIGNS = { added: "+", removed: "-", changed: "~" } as const;
/** Longest printed value, in characters; the rest is cut off. */
const MAX_VALUE_LENGTH = 100;

/**
 * Returns a line for each object, followed by a line for each changed field.
 */
export function differenceLines(changes: ObjectChange[]): string[] {
  return changes.flatMap((change) => [
    `${SIGNS[change.change]} ${change.object}`,
    ...change.fields.map((field) =>
      `    ${field.field}: ${formatValue(field.before)} -> ${
        formatValue(field.after)
      }`
    ),
  ]);
}

function formatValue(value: unknown): string {
  const text = value === undefined ? "(absent)" : JSON.stringify(value);
  return text.length > MAX_VALUE_LENGTH
    ? `${text.slice(0, MAX_VALUE_LENGTH)}...`
    : text;
}
