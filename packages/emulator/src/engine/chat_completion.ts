/** The chat completions interface as far as the emulator speaks it. @module */
import * as v from "valibot";

const DEFAULT_OUTPUT_TOKENS = 16;
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(1));

/** Body of `POST /v1/chat/completions`; further members are ignored. */
export const chatCompletionRequestSchema = v.object({
  model: v.string(),
  messages: v.array(
    v.object({ role: v.string(), content: v.nullish(v.unknown()) }),
  ),
  max_tokens: v.optional(count),
  max_completion_tokens: v.optional(count),
  stream: v.optional(v.boolean(), false),
  stream_options: v.optional(
    v.object({ include_usage: v.optional(v.boolean(), false) }),
  ),
});
/** See {@link chatCompletionRequestSchema}. */
export type ChatCompletionRequest = v.InferOutput<
  typeof chatCompletionRequestSchema
>;

/** The prompt as one text. */
export function promptOf(request: ChatCompletionRequest): string {
  return request.messages
    .map(({ role, content }) => `${role}: ${contentText(content)}\n`)
    .join("");
}

function contentText(content: unknown): string {
  return typeof content === "string" ? content : JSON.stringify(content ?? "");
}

/** Tokens to generate. */
export function outputTokensOf(request: ChatCompletionRequest): number {
  return request.max_completion_tokens ?? request.max_tokens ??
    DEFAULT_OUTPUT_TOKENS;
}

/** Token counts of one answer. */
export type Usage = {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
};

/** The counts in the form of the interface. */
export function usageOf(
  { promptTokens, cachedTokens, outputTokens }: {
    promptTokens: number;
    cachedTokens: number;
    outputTokens: number;
  },
): Usage {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: outputTokens,
    total_tokens: promptTokens + outputTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}
