/** A caller's request as received, with a body of bounded size. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { closeBeforeRest, readBody } from "@sycamorepulley/receiving";
import type { BodyOptions } from "@sycamorepulley/receiving";
import Result from "true-myth/result";
import { permanentRefusal, retryableRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

/** A request as received. Header names are in lower case. */
export type RawRequest = {
  method: string;
  /** Path and query string. */
  path: string;
  headers: Record<string, string | string[] | undefined>;
  body: Uint8Array;
};

const EMPTY_BODY = new Uint8Array();

/**
 * Reads the body of a request, or returns why it is refused. Resolves to
 * undefined if the caller disconnected before the body's end.
 */
export async function receiveBody(
  message: IncomingMessage,
  response: ServerResponse,
  options: BodyOptions,
): Promise<Result<Uint8Array, Refusal> | undefined> {
  const body = await readBody(message, options);
  if (body.isOk) return Result.ok(body.value ?? EMPTY_BODY);
  if (body.error === "cut") return undefined;
  closeBeforeRest(message, response);
  return Result.err(
    body.error === "memory"
      ? retryableRefusal(
        "entry_memory_full",
        "this instance holds as many requests as its memory allows",
      )
      : permanentRefusal(
        "body_too_large",
        `the body is larger than the ${options.maxBytes} bytes that are taken here`,
      ),
  );
}

/** Returns a header's value, the first one if it was sent several times. */
export function headerValue(
  headers: RawRequest["headers"],
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
