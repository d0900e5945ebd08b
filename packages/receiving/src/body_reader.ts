/** Reads the body of a request within bounds. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth/result";
import { BodyBuffer } from "./body_buffer.ts";
import type { HeldBody } from "./request_memory.ts";

/**
 * Largest stated length of a refused body that is read and dropped, so that the
 * client can use its connection again.
 */
const DROPPED_BODY_BYTES = 64 * 1024;

/** Why a body was not read; `memory`: the budget is exhausted. */
export type BodyError = "too_large" | "cut" | "memory";

/** Bounds of {@link readBody}; `held` counts the body and outlives the call. */
export type BodyOptions = { maxBytes: number; held: HeldBody };

/**
 * Reads the whole body; `undefined` if it is empty. Fails if it is larger than
 * `maxBytes`, ends early, or gets or keeps no memory. All its bytes are then
 * dropped, also those that still arrive.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, held }: BodyOptions,
): Promise<Result<Buffer | undefined, BodyError>> {
  return new Promise((resolve) => {
    const stated = statedLength(request);
    let body: BodyBuffer | undefined = new BodyBuffer(stated, maxBytes);
    const fail = (error: BodyError) => {
      body = undefined;
      held.release();
      resolve(Result.err(error));
    };
    held.onEvicted(() => fail("memory"));
    if (stated !== undefined && stated > maxBytes) fail("too_large");
    else if (!held.reserveStated(stated ?? 0)) fail("memory");
    request.on("data", (chunk: Buffer) => {
      if (body === undefined) return;
      const length = body.length + chunk.length;
      if (length > maxBytes) fail("too_large");
      else if (
        held.recordReceived(chunk.length, length, body.memoryFor(length))
      ) body.append(chunk);
      else fail("memory");
    });
    request.once("end", () => {
      if (body === undefined) return;
      const bytes = body.length === 0 ? undefined : body.take();
      held.complete(Math.max(1, body.capacity));
      body = undefined;
      resolve(Result.ok(bytes));
    });
    // Both may follow the end, when the body belongs to the request's handler.
    const cut = () => {
      if (body !== undefined) fail("cut");
    };
    request.once("close", cut);
    request.once("error", cut);
  });
}

/**
 * Closes the connection with its next response if much of a refused body may
 * follow: clients could send without end otherwise.
 */
export function closeBeforeRest(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const stated = statedLength(request) ?? Infinity;
  const isShort = stated <= DROPPED_BODY_BYTES;
  if (!request.complete && !isShort) response.setHeader("connection", "close");
}

/** Bytes of the body that the head of a request states. */
function statedLength({ headers }: IncomingMessage): number | undefined {
  if (headers["transfer-encoding"] !== undefined) return undefined;
  return Number(headers["content-length"] ?? 0);
}
