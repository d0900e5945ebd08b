/** The response to a non-idempotent request, kept for retries. @module */
import * as v from "valibot";

/** Longer bodies are not kept; a retry then gets only status and headers. */
export const MAXIMUM_RECORDED_BODY_BYTES = 8 * 1024;
/** Headers that are longer, encoded as JSON, are not kept. */
const MAXIMUM_RECORDED_HEADER_BYTES = 2 * 1024;

/** Response that a caller got; without `body` if that was too long to keep. */
export type RecordedResponse = {
  status: number;
  headers: Record<string, string>;
  body?: Uint8Array;
};

/** A recorded response as stored, with the body in base64. */
export const storedResponseSchema = v.object({
  status: v.number(),
  headers: v.record(v.string(), v.string()),
  body: v.optional(v.string()),
});
/** A stored response; fields as in {@link storedResponseSchema}. */
export type StoredResponse = v.InferOutput<typeof storedResponseSchema>;

/** Encodes a response for storage, without too long a body or headers. */
export function toStoredResponse(response: RecordedResponse): StoredResponse {
  const { status, headers, body } = response;
  const fits = body !== undefined &&
    body.byteLength <= MAXIMUM_RECORDED_BODY_BYTES;
  const headersFit =
    JSON.stringify(headers).length <= MAXIMUM_RECORDED_HEADER_BYTES;
  return {
    status,
    headers: headersFit ? headers : {},
    ...(fits && { body: Buffer.from(body).toString("base64") }),
  };
}

/** Decodes a stored response. */
export function fromStoredResponse(stored: StoredResponse): RecordedResponse {
  const { status, headers, body } = stored;
  return {
    status,
    headers,
    ...(body !== undefined && { body: Buffer.from(body, "base64") }),
  };
}
