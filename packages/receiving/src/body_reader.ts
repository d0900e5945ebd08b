/** Reads the body of a request within bounds. @module */
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth/result";
import { BodyBuffer } from "./body_buffer.ts";

/** Why a body was not read; `memory`: no more may be held. */
export type BodyError = "too_large" | "cut" | "memory";

/** The memory that is reserved for a body. */
export type BodyReservation = {
  /** Raises it to so many bytes; returns false if that is not allowed. */
  reserve: (bytes: number) => boolean;
};

/** Bounds of {@link readBody}. */
export type BodyOptions = { maxBytes: number; held?: BodyReservation };

/**
 * Reads the whole body; `undefined` if it is empty. Fails if it is larger than
 * `maxBytes` or ends early, or if `held` can't be raised to the memory that it
 * needs; the rest is then read and dropped.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, held }: BodyOptions,
): Promise<Result<Buffer | undefined, BodyError>> {
  return new Promise((resolve) => {
    const body = new BodyBuffer();
    let isDropped = false;
    request.on("data", (chunk: Buffer) => {
      if (isDropped) return;
      body.append(chunk);
      if (body.length > maxBytes) {
        isDropped = true;
        resolve(Result.err("too_large"));
      } else if (held?.reserve(body.memory) === false) {
        isDropped = true;
        resolve(Result.err("memory"));
      }
    });
    request.once(
      "end",
      () => resolve(Result.ok(body.length === 0 ? undefined : body.take())),
    );
    request.once("close", () => resolve(Result.err("cut")));
    request.once("error", () => resolve(Result.err("cut")));
  });
}
