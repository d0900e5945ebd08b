/** Destination of the response to a request. @module */
import type { HttpHeaders } from "@sycamorepulley/protocol";
import type { Refusal } from "./refusal.ts";

/**
 * Receives one response: a head, chunks and an end, or a single refusal. A
 * response whose head was sent may be aborted instead of ended.
 */
export abstract class ResponseSink {
  abstract writeHead(status: number, headers: HttpHeaders): void;
  /** Resolves when the next chunk may be written. */
  abstract write(bytes: Uint8Array): Promise<void>;
  abstract end(): void;
  /** Sends a refusal in place of a backend server's response. */
  abstract refuse(refusal: Refusal): void;
  /**
   * Breaks off a response whose head was sent, so that the caller can't take it
   * for complete.
   */
  abstract abort(refusal: Refusal): void;
}
