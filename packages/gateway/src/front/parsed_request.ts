/** Parses the request of a caller. @module */
import type { IncomingMessage } from "node:http";
import type { Cost } from "@sycamorepulley/decisions";
import { forwardedHeaders } from "./forwarded_headers.ts";
import type { HeaderNames } from "./header_names.ts";
import { parsePromptParts } from "./prompt_parts.ts";

/**
 * Largest number of tokens that is accepted: peers refuse a message in which a
 * sum of two numbers is no exact integer.
 */
const MAXIMUM_TOKENS = 2 ** 31;

/** A caller's request as received. Times are in milliseconds. */
export type ParsedRequest = {
  /** Identifies this attempt of the caller; its own retries have other ids. */
  requestId: string;
  method: string;
  target: string;
  host: string;
  credential: string | undefined;
  /** Prompt tokens and maximum output tokens, as the caller states. */
  statedTokens: Cost | undefined;
  /** Fingerprints of the parts of the prompt that other requests may share. */
  promptParts: string[];
  /** The caller's estimate of the output tokens. */
  expectedOutputTokens: number | undefined;
  /** How long the caller waits from the time of sending. */
  remainingTime: number | undefined;
  /** Headers to forward to the server: alternating names and values. */
  forwardedHeaders: string[];
  arrivedAt: number;
};

/** Parses callers' requests with the header names of one platform. */
export class RequestParser {
  readonly #headerNames: HeaderNames;
  readonly #droppedHeaders: ReadonlySet<string>;
  readonly #protectedHeaders: ReadonlySet<string>;

  constructor(headerNames: HeaderNames) {
    this.#headerNames = headerNames;
    this.#droppedHeaders = new Set(
      [
        ...headerNames.reserved,
        headerNames.credential,
        headerNames.organisation,
        headerNames.expectedServer,
        headerNames.remainingTime,
      ].map((name) => name.toLowerCase()),
    );
    this.#protectedHeaders = new Set(
      [
        headerNames.requestId,
        headerNames.tokenUsage,
        headerNames.model,
        headerNames.promptParts,
        headerNames.lastEventId,
        "host",
      ]
        .map((name) => name.toLowerCase()),
    );
  }

  parse(message: IncomingMessage, now: number): ParsedRequest {
    const headerNames = this.#headerNames;
    return {
      requestId: headerValue(message, headerNames.requestId) ?? "",
      method: message.method ?? "GET",
      target: message.url ?? "/",
      host: message.headers.host ?? "",
      credential: headerValue(message, headerNames.credential),
      statedTokens: parseTokenUsage(
        headerValue(message, headerNames.tokenUsage),
      ),
      promptParts: parsePromptParts(
        headerValue(message, headerNames.promptParts),
        headerValue(message, headerNames.model),
      ),
      expectedOutputTokens: parsePositive(
        headerValue(message, headerNames.expectedOutputTokens),
      ),
      remainingTime: parsePositive(
        headerValue(message, headerNames.remainingTime),
      ),
      forwardedHeaders: forwardedHeaders(
        message.rawHeaders,
        this.#droppedHeaders,
        this.#protectedHeaders,
      ),
      arrivedAt: now,
    };
  }
}

function headerValue(
  message: IncomingMessage,
  name: string,
): string | undefined {
  const value = message.headers[name.toLowerCase()];
  return Array.isArray(value) ? value[0] : value;
}

function parsePositive(value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const number = Number(value);
  return Number.isFinite(number) && number > 0 ? number : undefined;
}

function parseTokenUsage(value: string | undefined): Cost | undefined {
  const parts = value?.split(",").map(Number) ?? [];
  const [promptTokens, outputTokens] = parts;
  if (promptTokens === undefined || outputTokens === undefined) {
    return undefined;
  }
  if (!isTokenCount(promptTokens) || !isTokenCount(outputTokens)) {
    return undefined;
  }
  return { promptTokens, outputTokens };
}

function isTokenCount(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= MAXIMUM_TOKENS;
}
