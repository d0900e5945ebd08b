/** A caller's HTTP response. @module */
import type { ServerResponse } from "node:http";
import type { HttpHeaders } from "@sycamorepulley/protocol";
import { AnswerSink } from "./answer_sink.ts";
import { problemDocument } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

/** Writes one answer to one caller. */
export class HttpAnswerSink extends AnswerSink {
  readonly #response: ServerResponse;
  #eventStream = false;

  constructor(response: ServerResponse) {
    super();
    this.#response = response;
  }

  override head(status: number, headers: HttpHeaders): void {
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
   * Guards against a cut answer that looks whole: the connection is destroyed
   * before the last chunk (or the announced length), which every HTTP client
   * reports as an error. A stream of events also says why.
   */
  override cut(refusal: Refusal): void {
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
