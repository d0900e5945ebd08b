/**
 * Reads the fields of a chat completion's body that scheduling needs. The body
 * itself is forwarded unchanged.
 * @module
 */
import { createHash } from "node:crypto";
import { PROMPT_PART_PREFIX } from "@sycamorepulley/decisions";
import * as v from "valibot";

const schema = v.looseObject({
  model: v.string(),
  messages: v.pipe(
    v.array(v.looseObject({ role: v.string() })),
    v.minLength(1),
  ),
  max_tokens: v.optional(v.nullable(v.number())),
  max_completion_tokens: v.optional(v.nullable(v.number())),
});

/**
 * Length of the prompt's beginning that the prefix key covers, in UTF-16 code
 * units of its first two messages as JSON.
 */
const PREFIX_LENGTH = 1024;

/** Maximum number of messages with a fingerprint: the first ones. */
const MAXIMUM_PROMPT_PARTS = 32;

/** Fields that determine a completion's backend server and estimated cost. */
export type ChatCompletion = {
  model: string;
  promptBytes: number;
  maximumOutputTokens?: number | undefined;
  /** Hash of the model and the prompt's beginning; equal if both are equal. */
  prefixKey: string;
  /**
   * Fingerprints of the messages that other requests may share: all but the
   * last.
   */
  promptParts: string[];
};

/** Returns undefined if the body is not a chat completion. */
export function readChatCompletion(
  body: Uint8Array,
): ChatCompletion | undefined {
  const parsed = v.safeParse(schema, parseJson(body));
  if (!parsed.success) return undefined;
  const { model, messages, max_tokens, max_completion_tokens } = parsed.output;
  const beginning = JSON.stringify(messages.slice(0, 2)).slice(
    0,
    PREFIX_LENGTH,
  );
  return {
    model,
    promptBytes: body.byteLength,
    maximumOutputTokens: max_completion_tokens ?? max_tokens ?? undefined,
    prefixKey: createHash("sha256").update(model).update(beginning)
      .digest("base64url").slice(0, 16),
    promptParts: messages.slice(0, -1).slice(0, MAXIMUM_PROMPT_PARTS)
      .map((message) => partFingerprint(model, message)),
  };
}

function partFingerprint(model: string, message: unknown): string {
  const hash = createHash("sha256").update(model)
    .update(JSON.stringify(message));
  return PROMPT_PART_PREFIX + hash.digest("base64url").slice(0, 22);
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return undefined;
  }
}
