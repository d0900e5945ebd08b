/** Reads the body of a request within bounds. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth/result";
import { BodyBuffer } from "./body_buffer.ts";

/**
 * Largest stated length of a refused body that is read and dropped, so that its
 * connection can be used again.
 */
const DROPPED_BODY_BYTES = 64 * 1024;

/** Why a body was not read; `memory`: no more may be held. */
export type BodyError = "too_large" | "cut" | "memory";

/** The memory that is reserved for a body. */
export type BodyReservation = {
  /** Raises it to so many bytes; returns false if that is not allowed. */
  reserve: (bytes: number) => boolean;
};

/** Bounds of {@link readBody}. */
export type BodyOptions = { maxBytes: number; held: BodyReservation };

/**
 * Reads the whole body; `undefined` if it is empty. Fails if it is larger than
 * `maxBytes` or ends early, or if `held` can't be raised to the memory that it
 * needs. What was received is then dropped, and so is the rest.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, held }: BodyOptions,
): Promise<Result<Buffer | undefined, BodyError>> {
  return new Promise((resolve) => {
    let body: BodyBuffer | undefined = new BodyBuffer();
    const fail = (error: BodyError) => {
      body = undefined;
      resolve(Result.err(error));
    };
    const stated = statedLength(request);
    if (stated > maxBytes) fail("too_large");
    // A request without a body needs memory too.
    else if (!held.reserve(Math.max(1, stated))) fail("memory");
    request.on("data", (chunk: Buffer) => {
      if (body === undefined) return;
      body.append(chunk);
      if (body.length > maxBytes) fail("too_large");
      else if (!held.reserve(body.memory)) fail("memory");
    });
    request.once("end", () => {
      const isEmpty = body === undefined || body.length === 0;
      resolve(Result.ok(isEmpty ? undefined : body?.take()));
    });
    request.once("close", () => fail("cut"));
    request.once("error", () => fail("cut"));
  });
}

/**
 * Closes the connection with its next response unless the rest of a refused body
 * is short: clients could send without end otherwise.
 */
export function closeBeforeRest(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const stated = statedLength(request);
  const isShort = stated > 0 && stated <= DROPPED_BODY_BYTES;
  if (!request.complete && !isShort) response.setHeader("connection", "close");
}

/** Bytes of the body that the head of a request states; 0 if it doesn't. */
function statedLength({ headers }: IncomingMessage): number {
  return Number(headers["content-length"] ?? 0);
}
