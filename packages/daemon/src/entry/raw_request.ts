/** A caller's request as received, with a body of bounded size. @module */
import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";
import { permanentRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

/** A request as received. Header names are in lower case. */
export type RawRequest = {
  method: string;
  /** Path and query string. */
  path: string;
  headers: Record<string, string | string[] | undefined>;
  body: Uint8Array;
};

/**
 * Reads a body of at most `maxBytes` bytes. Resolves to undefined if the caller
 * disconnected before the body's end.
 */
export async function readBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Result<Uint8Array, Refusal> | undefined> {
  const tooLarge = permanentRefusal(
    "body_too_large",
    `the body is larger than the ${maxBytes} bytes that are taken here`,
  );
  const contentLength = Number(message.headers["content-length"] ?? 0);
  if (contentLength > maxBytes) return Result.err(tooLarge);
  const chunks: Uint8Array[] = [];
  let length = 0;
  try {
    for await (const chunk of message as AsyncIterable<Uint8Array>) {
      length += chunk.byteLength;
      if (length > maxBytes) return Result.err(tooLarge);
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return Result.ok(Buffer.concat(chunks, length));
}

/** Returns a header's value, the first one if it was sent several times. */
export function headerValue(
  headers: RawRequest["headers"],
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
