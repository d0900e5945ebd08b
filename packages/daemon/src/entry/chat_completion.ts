/**
 * What scheduling reads of a chat completion's body; all else passes through
 * unread.
 * @module
 */
import { createHash } from "node:crypto";
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

/** Bytes of the first messages that tell one prompt's prefix from another's. */
const PREFIX_BYTES = 1024;

/** The parts that decide where a completion goes and what it may cost. */
export type ChatCompletion = {
  model: string;
  promptBytes: number;
  maximumOutputTokens?: number | undefined;
  /** Equal for prompts that begin alike. */
  prefixKey: string;
};

/** Undefined when the body is no chat completion. */
export function readChatCompletion(
  body: Uint8Array,
): ChatCompletion | undefined {
  const parsed = v.safeParse(schema, parseJson(body));
  if (!parsed.success) return undefined;
  const { model, messages, max_tokens, max_completion_tokens } = parsed.output;
  const beginning = JSON.stringify(messages.slice(0, 2)).slice(0, PREFIX_BYTES);
  return {
    model,
    promptBytes: body.byteLength,
    maximumOutputTokens: max_completion_tokens ?? max_tokens ?? undefined,
    prefixKey: createHash("sha256").update(model).update(beginning)
      .digest("base64url").slice(0, 16),
  };
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return undefined;
  }
}
