/** Records a response while it is sent to the caller. @module */
import type { RecordedResponse } from "@sycamorepulley/store";
import type { HttpHeaders } from "@sycamorepulley/protocol";
import { ResponseSink } from "./response_sink.ts";
import type { Refusal } from "./refusal.ts";

/**
 * Forwards a response to another sink and records it. After a refusal or an
 * abort, which ends the caller's response, it only records.
 */
export class RecordingSink extends ResponseSink {
  readonly #target: ResponseSink;
  readonly #maxBodyBytes: number;
  #status = 0;
  #headers: HttpHeaders = {};
  #chunks: Uint8Array[] = [];
  #length = 0;
  #targetFinished = false;

  constructor(options: { target: ResponseSink; maxBodyBytes: number }) {
    super();
    this.#target = options.target;
    this.#maxBodyBytes = options.maxBodyBytes;
  }

  /** The response so far, without the body if that is too long to be stored. */
  get recordedResponse(): RecordedResponse {
    const fits = this.#length <= this.#maxBodyBytes;
    return {
      status: this.#status,
      headers: joinHeaderValues(this.#headers),
      ...(fits ? { body: Buffer.concat(this.#chunks) } : {}),
    };
  }

  override writeHead(status: number, headers: HttpHeaders): void {
    this.#status = status;
    this.#headers = headers;
    if (!this.#targetFinished) this.#target.writeHead(status, headers);
  }

  override async write(bytes: Uint8Array): Promise<void> {
    this.#length += bytes.byteLength;
    if (this.#length <= this.#maxBodyBytes) this.#chunks.push(bytes);
    else this.#chunks = [];
    if (!this.#targetFinished) await this.#target.write(bytes);
  }

  override end(): void {
    if (!this.#targetFinished) this.#target.end();
  }

  override refuse(refusal: Refusal): void {
    if (!this.#targetFinished) this.#target.refuse(refusal);
    this.#targetFinished = true;
  }

  override abort(refusal: Refusal): void {
    if (!this.#targetFinished) this.#target.abort(refusal);
    this.#targetFinished = true;
  }
}

function joinHeaderValues(headers: HttpHeaders): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [
      name,
      Array.isArray(value) ? value.join(", ") : value,
    ]),
  );
}
