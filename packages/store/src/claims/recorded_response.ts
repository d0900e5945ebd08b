/** What became of a non-idempotent request, kept for resends. @module */
import * as v from "valibot";

/** Longer bodies are not kept; a resend then learns status and headers only. */
export const MAXIMUM_RECORDED_BODY_BYTES = 8 * 1024;
const MAXIMUM_HEADER_BYTES = 2 * 1024;

/** An answer that was given. `body` is absent when it was too long to keep. */
export type RecordedResponse = {
  status: number;
  headers: Record<string, string>;
  body?: Uint8Array;
};

/** As stored; the body in base64. */
export const storedOutcomeSchema = v.object({
  status: v.number(),
  headers: v.record(v.string(), v.string()),
  body: v.optional(v.string()),
});
/** See {@link storedOutcomeSchema}. */
export type StoredOutcome = v.InferOutput<typeof storedOutcomeSchema>;

/** Cuts the outcome to what is kept. */
export function storeOutcome(outcome: RecordedResponse): StoredOutcome {
  const { status, headers, body } = outcome;
  const fits = body !== undefined &&
    body.byteLength <= MAXIMUM_RECORDED_BODY_BYTES;
  const headersFit = JSON.stringify(headers).length <= MAXIMUM_HEADER_BYTES;
  return {
    status,
    headers: headersFit ? headers : {},
    ...(fits && { body: Buffer.from(body).toString("base64") }),
  };
}

/** The outcome as it was recorded. */
export function loadOutcome(stored: StoredOutcome): RecordedResponse {
  const { status, headers, body } = stored;
  return {
    status,
    headers,
    ...(body !== undefined && { body: Buffer.from(body, "base64") }),
  };
}
