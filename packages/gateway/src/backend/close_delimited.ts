/** Responses whose end is that of their connection. @module */
import type { ResponseHead } from "./backend_connection.ts";

/** HTTP status codes of responses that have no body. */
const NO_CONTENT = 204;
export const NOT_MODIFIED = 304;
const BODILESS_STATUSES: readonly number[] = [NO_CONTENT, NOT_MODIFIED];

/**
 * True if only the end of the connection marks the end of the response, unless
 * the request was a `HEAD`.
 */
export function isCloseDelimited({ status, headers }: ResponseHead): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined &&
    !BODILESS_STATUSES.includes(status);
}
