/** Where a request's answer goes. @module */
import type { HttpHeaders } from "@sycamorepulley/protocol";
import type { Refusal } from "./refusal.ts";

/** Takes one answer: a head, chunks and an end; or one refusal; or a cut. */
export abstract class AnswerSink {
  abstract head(status: number, headers: HttpHeaders): void;
  /** Resolves once more may be written. */
  abstract write(bytes: Uint8Array): Promise<void>;
  abstract end(): void;
  /** The final answer in place of the backend server's. */
  abstract refuse(refusal: Refusal): void;
  /** The answer stops after its head: the caller must not take it for whole. */
  abstract cut(refusal: Refusal): void;
}
