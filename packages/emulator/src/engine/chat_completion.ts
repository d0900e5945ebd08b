/**
 * The subset of the chat completions API that the emulator supports.
 * @module
 */
import * as v from "valibot";

const DEFAULT_OUTPUT_TOKENS = 16;
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(1));

/** Body of `POST /v1/chat/completions`; unknown members are ignored. */
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
export type ChatCompletionRequest = v.InferOutput<
  typeof chatCompletionRequestSchema
>;

/** Joins all messages into one prompt text. */
export function formatPrompt(request: ChatCompletionRequest): string {
  return request.messages
    .map(({ role, content }) => `${role}: ${contentToText(content)}\n`)
    .join("");
}

/** Texts of the messages, in order. */
export function messageTexts(request: ChatCompletionRequest): string[] {
  return request.messages.map(({ content }) => contentToText(content));
}

function contentToText(content: unknown): string {
  return typeof content === "string" ? content : JSON.stringify(content ?? "");
}

/** Number of tokens to generate for the request. */
export function requestedOutputTokens(request: ChatCompletionRequest): number {
  return request.max_completion_tokens ?? request.max_tokens ??
    DEFAULT_OUTPUT_TOKENS;
}

/** Token counts of one completion. */
export type Usage = {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
};

/** Converts token counts to the format of the API. */
export function createUsage(
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
