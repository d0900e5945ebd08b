/** Fingerprints of the parts that a caller's prompt shares with others. @module */
import { createHash } from "node:crypto";
import { PROMPT_PART_PREFIX } from "@sycamorepulley/decisions";

/** Maximum number of parts of a prompt with a fingerprint: the first ones. */
const MAXIMUM_PARTS = 32;
/** Maximum number of characters of a model and an id that are kept as sent. */
const MAXIMUM_READABLE_LENGTH = 40;
const READABLE = /^[\w.-]+$/;

/**
 * Parses a list of `id:tokens` entries, separated by commas, into fingerprints
 * of the parts. The last part belongs to the request alone and is left out. The
 * same part of another model's prompt has another fingerprint.
 */
export function parsePromptParts(
  value: string | undefined,
  model: string | undefined,
): string[] {
  if (value === undefined) return [];
  const ids = value.split(",").slice(0, -1)
    .map((entry) => entry.split(":")[0]!.trim().toLowerCase())
    .filter((id) => id !== "");
  return [...new Set(ids)].slice(0, MAXIMUM_PARTS)
    .map((id) => PROMPT_PART_PREFIX + partName(model ?? "", id));
}

function partName(model: string, id: string): string {
  const name = `${model}.${id}`;
  if (name.length <= MAXIMUM_READABLE_LENGTH && READABLE.test(name)) {
    return name;
  }
  return createHash("sha1").update(`${model}\n${id}`).digest("base64url");
}
