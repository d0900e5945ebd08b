/** Requests of a load. @module */
import process from "node:process";
import { CHARACTERS_PER_TOKEN } from "../engine/prefix_cache.ts";
import type { MixPart } from "./mix.ts";

/** How the requests of a load look. */
export type LoadRequestOptions = {
  model: string;
  bookingService: string;
  promptTokens: number;
  outputTokens: number;
  /** Milliseconds; the tier's default when absent. */
  deadline: number | undefined;
  token: string | undefined;
  /** Paths as the servers themselves have them, without the entry's prefix. */
  direct: boolean;
};

/** One request ready to be sent. */
export type LoadRequest = {
  method: "GET" | "POST";
  path: string;
  headers: Record<string, string>;
  body: string | null;
};

/** The request number `number` of a load; its marker is unique in the load. */
export function loadRequest(
  part: MixPart,
  shape: LoadRequestOptions,
  number: number,
): LoadRequest {
  const marker = `#load-${number}#`;
  const headers = headersOf(part, shape);
  const prefix = shape.direct ? "" : `/services/${shape.bookingService}`;
  if (part.kind === "lookup") {
    return { method: "GET", path: `${prefix}/bookings/1`, headers, body: null };
  }
  if (part.kind === "booking") {
    headers["idempotency-key"] = `load-${process.pid}-${number}`;
    const body = JSON.stringify({ note: marker });
    return { method: "POST", path: `${prefix}/bookings`, headers, body };
  }
  const body = chatBody(shape, marker, part.kind === "stream");
  return { method: "POST", path: "/v1/chat/completions", headers, body };
}

function headersOf(
  part: MixPart,
  shape: LoadRequestOptions,
): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/json",
  };
  if (shape.token !== undefined) {
    headers["authorization"] = `Bearer ${shape.token}`;
  }
  if (part.tier !== undefined) {
    headers["sycamorepulley-tier"] = part.tier;
  }
  if (shape.deadline !== undefined) {
    headers["sycamorepulley-deadline"] = String(shape.deadline);
  }
  return headers;
}

function chatBody(
  shape: LoadRequestOptions,
  marker: string,
  stream: boolean,
): string {
  const length = shape.promptTokens * CHARACTERS_PER_TOKEN - marker.length;
  const content = marker + "x".repeat(Math.max(0, length));
  return JSON.stringify({
    model: shape.model,
    messages: [{ role: "user", content }],
    max_tokens: shape.outputTokens,
    stream,
  });
}
