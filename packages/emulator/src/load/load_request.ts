/** Creates the requests of a load. @module */
import process from "node:process";
import { CHARACTERS_PER_TOKEN } from "../engine/prefix_cache.ts";
import type { MixPart } from "./mix.ts";

/** Options of the requests of a load. */
export type LoadRequestOptions = {
  model: string;
  bookingService: string;
  promptTokens: number;
  outputTokens: number;
  /** Texts of the messages with which each chat begins. */
  firstMessages: readonly string[];
  /** Text of another message of some chats, such as one that crashes engines. */
  rareMessage: string | undefined;
  /** It is sent with each chat of which the number is a multiple of this. */
  rareMessageEvery: number;
  /** Deadline in milliseconds; undefined for the tier's default. */
  deadline: number | undefined;
  /** Bearer token. */
  token: string | undefined;
  /** Targets a backend server: paths have no `/services/<name>` prefix. */
  direct: boolean;
};

/** One request to send. */
export type LoadRequest = {
  method: "GET" | "POST";
  path: string;
  headers: Record<string, string>;
  body: string | null;
};

/** Creates the request `number`; its marker is unique within the load. */
export function createLoadRequest(
  part: MixPart,
  options: LoadRequestOptions,
  number: number,
): LoadRequest {
  const marker = markerOf(number);
  const headers = createHeaders(part, options);
  const prefix = options.direct ? "" : `/services/${options.bookingService}`;
  if (part.kind === "lookup") {
    return { method: "GET", path: `${prefix}/bookings/1`, headers, body: null };
  }
  if (part.kind === "booking") {
    headers["idempotency-key"] = `load-${process.pid}-${number}`;
    const body = JSON.stringify({ note: marker });
    return { method: "POST", path: `${prefix}/bookings`, headers, body };
  }
  const body = createChatBody(options, number, part.kind === "stream");
  return { method: "POST", path: "/v1/chat/completions", headers, body };
}

function createHeaders(
  part: MixPart,
  options: LoadRequestOptions,
): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/json",
  };
  if (options.token !== undefined) {
    headers["authorization"] = `Bearer ${options.token}`;
  }
  if (part.tier !== undefined) {
    headers["sycamorepulley-tier"] = part.tier;
  }
  if (options.deadline !== undefined) {
    headers["sycamorepulley-deadline"] = String(options.deadline);
  }
  return headers;
}

function markerOf(number: number): string {
  return `#load-${number}#`;
}

function createChatBody(
  options: LoadRequestOptions,
  number: number,
  stream: boolean,
): string {
  const marker = markerOf(number);
  const length = options.promptTokens * CHARACTERS_PER_TOKEN - marker.length;
  const content = marker + "x".repeat(Math.max(0, length));
  const { firstMessages, rareMessage, rareMessageEvery } = options;
  const isRare = rareMessage !== undefined && number % rareMessageEvery === 0;
  const texts = isRare ? [...firstMessages, rareMessage] : firstMessages;
  return JSON.stringify({
    model: options.model,
    messages: [...texts, content].map((text) => ({
      role: "user",
      content: text,
    })),
    max_tokens: options.outputTokens,
    stream,
  });
}
