/** Keeps a copy of an answer on its way to the caller. @module */
import type { RecordedResponse } from "@sycamorepulley/store";
import type { HttpHeaders } from "@sycamorepulley/protocol";
import { AnswerSink } from "./answer_sink.ts";
import type { Refusal } from "./refusal.ts";

/** Passes on and records; records alone once the caller has its final answer. */
export class RecordingSink extends AnswerSink {
  readonly #target: AnswerSink;
  readonly #bound: number;
  #status = 0;
  #headers: HttpHeaders = {};
  #parts: Uint8Array[] = [];
  #length = 0;
  #detached = false;

  constructor(options: { target: AnswerSink; bound: number }) {
    super();
    this.#target = options.target;
    this.#bound = options.bound;
  }

  /** The answer so far; without its body where that is longer than kept. */
  get outcome(): RecordedResponse {
    const fits = this.#length <= this.#bound;
    return {
      status: this.#status,
      headers: joined(this.#headers),
      ...(fits ? { body: Buffer.concat(this.#parts) } : {}),
    };
  }

  override head(status: number, headers: HttpHeaders): void {
    this.#status = status;
    this.#headers = headers;
    if (!this.#detached) this.#target.head(status, headers);
  }

  override async write(bytes: Uint8Array): Promise<void> {
    this.#length += bytes.byteLength;
    if (this.#length <= this.#bound) this.#parts.push(bytes);
    else this.#parts = [];
    if (!this.#detached) await this.#target.write(bytes);
  }

  override end(): void {
    if (!this.#detached) this.#target.end();
  }

  override refuse(refusal: Refusal): void {
    if (!this.#detached) this.#target.refuse(refusal);
    this.#detached = true;
  }

  override cut(refusal: Refusal): void {
    if (!this.#detached) this.#target.cut(refusal);
    this.#detached = true;
  }
}

function joined(headers: HttpHeaders): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [
      name,
      Array.isArray(value) ? value.join(", ") : value,
    ]),
  );
}
