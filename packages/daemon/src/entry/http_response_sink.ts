/** Writes responses to callers over HTTP. @module */
import type { ServerResponse } from "node:http";
import type { HttpHeaders } from "@sycamorepulley/protocol";
import { ResponseSink } from "./response_sink.ts";
import { problemDocument } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

/** Writes one response to one caller. */
export class HttpResponseSink extends ResponseSink {
  readonly #response: ServerResponse;
  #eventStream = false;

  constructor(response: ServerResponse) {
    super();
    this.#response = response;
  }

  override writeHead(status: number, headers: HttpHeaders): void {
    const type = String(headers["content-type"] ?? "");
    this.#eventStream = type.startsWith("text/event-stream");
    this.#response.writeHead(status, headers);
    this.#response.flushHeaders();
  }

  override async write(bytes: Uint8Array): Promise<void> {
    const response = this.#response;
    if (response.destroyed || response.write(bytes)) return;
    await new Promise<void>((resolve) => {
      const done = () => {
        response.off("drain", done);
        response.off("close", done);
        resolve();
      };
      response.on("drain", done);
      response.on("close", done);
    });
  }

  override end(): void {
    this.#response.end();
  }

  override refuse(refusal: Refusal): void {
    if (this.#response.destroyed) return;
    const { status, headers, body } = problemDocument(refusal);
    this.#response.writeHead(status, headers);
    this.#response.end(body);
  }

  /**
   * Destroys the connection before the last chunk (or the stated length) was
   * sent, which every HTTP client reports as an error: an incomplete response
   * must not look complete. An event stream first gets an event that states the
   * reason.
   */
  override abort(refusal: Refusal): void {
    const response = this.#response;
    if (response.destroyed) return;
    if (!this.#eventStream) {
      response.destroy();
      return;
    }
    const { body } = problemDocument(refusal);
    response.write(`event: error\ndata: ${body}\n\n`, () => response.destroy());
  }
}
