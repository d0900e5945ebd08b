/** One caller's request as received. @module */
import type { IncomingMessage } from "node:http";
import type { Cost } from "@sycamorepulley/decisions";
import { forwardedHeaders } from "./forwarded_headers.ts";
import type { HeaderNames } from "./header_names.ts";

/** See the fields. Times are milliseconds. */
export type Call = {
  /** The caller's name for this try. */
  request: string;
  method: string;
  target: string;
  host: string;
  credential: string | undefined;
  /** What it states of its size. */
  tokens: Cost | undefined;
  /** Tokens that it expects its answer to have. */
  expectedTokens: number | undefined;
  /** How long the caller waits from its sending. */
  timeLeft: number | undefined;
  /** Headers to hand on, names and values in turn. */
  headers: string[];
  arrived: number;
};

/** Reads callers' requests by one platform's names. */
export class RequestParser {
  readonly #names: HeaderNames;
  readonly #dropped: ReadonlySet<string>;
  readonly #kept: ReadonlySet<string>;

  constructor(names: HeaderNames) {
    this.#names = names;
    this.#dropped = new Set(
      [
        ...names.reserved,
        names.credential,
        names.organisation,
        names.expectedServer,
        names.remainingTime,
      ].map((name) => name.toLowerCase()),
    );
    this.#kept = new Set(
      [names.requestId, names.tokenUsage, names.lastEventId, "host"]
        .map((name) => name.toLowerCase()),
    );
  }

  parse(message: IncomingMessage, now: number): Call {
    const names = this.#names;
    return {
      request: valueOf(message, names.requestId) ?? "",
      method: message.method ?? "GET",
      target: message.url ?? "/",
      host: message.headers.host ?? "",
      credential: valueOf(message, names.credential),
      tokens: tokensOf(valueOf(message, names.tokenUsage)),
      expectedTokens: positive(valueOf(message, names.expectedOutputTokens)),
      timeLeft: positive(valueOf(message, names.remainingTime)),
      headers: forwardedHeaders(
        message.rawHeaders,
        this.#dropped,
        this.#kept,
      ),
      arrived: now,
    };
  }
}

function valueOf(message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name.toLowerCase()];
  return Array.isArray(value) ? value[0] : value;
}

function positive(value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const number = Number(value);
  return Number.isFinite(number) && number > 0 ? number : undefined;
}

function tokensOf(value: string | undefined): Cost | undefined {
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
