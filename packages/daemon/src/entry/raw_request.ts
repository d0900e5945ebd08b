/** A caller's request as it came, its body read within the bounds. @module */
import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";
import { rejected } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

/** Header names are in lower case. */
export type RawRequest = {
  method: string;
  /** Path and query. */
  path: string;
  headers: Record<string, string | string[] | undefined>;
  body: Uint8Array;
};

/** Reads a body of at most `bound` bytes; undefined if the caller broke off. */
export async function readBody(
  message: IncomingMessage,
  bound: number,
): Promise<Result<Uint8Array, Refusal> | undefined> {
  const tooLarge = rejected(
    "body_too_large",
    `the body is larger than the ${bound} bytes that are taken here`,
  );
  const announced = Number(message.headers["content-length"] ?? 0);
  if (announced > bound) return Result.err(tooLarge);
  const parts: Uint8Array[] = [];
  let length = 0;
  try {
    for await (const part of message as AsyncIterable<Uint8Array>) {
      length += part.byteLength;
      if (length > bound) return Result.err(tooLarge);
      parts.push(part);
    }
  } catch {
    return undefined;
  }
  return Result.ok(Buffer.concat(parts, length));
}

/** A header's value; the first one where it was sent repeatedly. */
export function headerValue(
  headers: RawRequest["headers"],
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
