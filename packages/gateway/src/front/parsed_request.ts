/** One caller's request as received. @module */
import type { IncomingMessage } from "node:http";
import type { Cost } from "@sycamorepulley/decisions";
import { forwardedHeaders } from "./forwarded_headers.ts";
import type { HeaderNames } from "./header_names.ts";

/** See the fields. Times are milliseconds. */
export type ParsedRequest = {
  /** The caller's name for this try. */
  requestId: string;
  method: string;
  target: string;
  host: string;
  credential: string | undefined;
  /** What it states of its size. */
  statedTokens: Cost | undefined;
  /** Tokens that it expects its answer to have. */
  expectedOutputTokens: number | undefined;
  /** How long the caller waits from its sending. */
  remainingTime: number | undefined;
  /** Headers to hand on, names and values in turn. */
  forwardedHeaders: string[];
  arrivedAt: number;
};

/** Reads callers' requests by one platform's names. */
export class RequestParser {
  readonly #names: HeaderNames;
  readonly #droppedHeaders: ReadonlySet<string>;
  readonly #protectedHeaders: ReadonlySet<string>;

  constructor(names: HeaderNames) {
    this.#names = names;
    this.#droppedHeaders = new Set(
      [
        ...names.reserved,
        names.credential,
        names.organisation,
        names.expectedServer,
        names.remainingTime,
      ].map((name) => name.toLowerCase()),
    );
    this.#protectedHeaders = new Set(
      [names.requestId, names.tokenUsage, names.lastEventId, "host"]
        .map((name) => name.toLowerCase()),
    );
  }

  parse(message: IncomingMessage, now: number): ParsedRequest {
    const names = this.#names;
    return {
      requestId: headerValue(message, names.requestId) ?? "",
      method: message.method ?? "GET",
      target: message.url ?? "/",
      host: message.headers.host ?? "",
      credential: headerValue(message, names.credential),
      statedTokens: parseTokenUsage(headerValue(message, names.tokenUsage)),
      expectedOutputTokens: parsePositive(
        headerValue(message, names.expectedOutputTokens),
      ),
      remainingTime: parsePositive(headerValue(message, names.remainingTime)),
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
  if (!Number.isInteger(promptTokens) || !Number.isInteger(outputTokens)) {
    return undefined;
  }
  if (promptTokens < 0 || outputTokens < 0) return undefined;
  return { promptTokens, outputTokens };
}
