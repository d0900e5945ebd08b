/** The caller's side of one request: its body, its leaving, its answer. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth/result";
import type { ResponseHead } from "../backend/backend_connection.ts";
import { responseHeaders } from "../front/forwarded_headers.ts";
import { sendErrorResponse } from "./error_response.ts";
import type { ErrorReason } from "./error_response.ts";

/** Writes at most one answer; knows when the caller has left. */
export class CallerConnection {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  #onDisconnect = () => {};
  #disconnected = false;
  #closeDelimited = false;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.#request = request;
    this.#response = response;
    const disconnect = () => this.#handleDisconnect();
    // The socket tells at once; the request's own events come only while its
    // body is read.
    request.socket.once("end", disconnect);
    request.socket.once("close", disconnect);
    response.once("close", () => {
      request.socket.off("end", disconnect);
      request.socket.off("close", disconnect);
      if (!response.writableFinished) this.#handleDisconnect();
    });
  }

  /** Calls `action` when the caller leaves, once. */
  onDisconnect(action: () => void): void {
    this.#onDisconnect = action;
  }

  get disconnected(): boolean {
    return this.#disconnected;
  }

  /** True once a part of a server's answer was passed on. */
  get responseStarted(): boolean {
    return this.#response.headersSent;
  }

  /** The whole body, or `undefined` if it is longer than `largest` bytes. */
  readBody(
    maxBytes: number,
  ): Promise<Result<Buffer | undefined, "too_large" | "cut">> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      this.#request.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size <= maxBytes) chunks.push(chunk);
        else resolve(Result.err("too_large"));
      });
      this.#request.once("end", () => {
        const body = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
        resolve(Result.ok(size === 0 ? undefined : body));
      });
      this.#request.once("close", () => resolve(Result.err("cut")));
      this.#request.once("error", () => resolve(Result.err("cut")));
    });
  }

  sendError(status: number, reason: ErrorReason, retryAfter?: number): void {
    if (this.#disconnected || this.responseStarted) return;
    sendErrorResponse(this.#response, status, reason, retryAfter);
  }

  /** Passes a whole answer on. */
  sendResponse(head: ResponseHead, body: Buffer): void {
    if (this.#disconnected) return;
    const headers = responseHeaders(head.headers);
    if (isCloseDelimited(head)) {
      this.#useCloseDelimiting();
    } else if (this.#request.method !== "HEAD" && head.status !== 304) {
      headers["content-length"] = String(body.length);
    }
    this.#response.writeHead(head.status, headers);
    this.#response.end(body);
  }

  startStream(head: ResponseHead): void {
    if (this.#disconnected || this.responseStarted) return;
    if (isCloseDelimited(head)) this.#useCloseDelimiting();
    this.#response.writeHead(head.status, responseHeaders(head.headers));
  }

  sendEvents(events: Buffer): void {
    if (!this.#disconnected) this.#response.write(events);
  }

  /**
   * Ends a stream whose server's last part was `unframed` or not. Its end can't
   * be told from a crash, so a caller that was promised a framed end gets none.
   */
  endStream(closeDelimited: boolean): void {
    if (this.#disconnected) return;
    if (closeDelimited && !this.#closeDelimited) this.abortResponse();
    else this.#response.end();
  }

  /** Ends the connection, so that the answer can't look whole. */
  abortResponse(): void {
    this.#response.destroy();
  }

  /**
   * Lets the answer end with its connection, as its server's does. A server that
   * crashes closes its connections too: stated as a length, what had come of the
   * answer until then would look whole.
   */
  #useCloseDelimiting(): void {
    this.#closeDelimited = true;
    this.#response.useChunkedEncodingByDefault = false;
    this.#response.shouldKeepAlive = false;
  }

  #handleDisconnect(): void {
    if (this.#disconnected || this.#response.writableFinished) return;
    this.#disconnected = true;
    this.#onDisconnect();
  }
}

/** True for an answer that ends with its connection, whole or not. */
export function isCloseDelimited(head: ResponseHead): boolean {
  return head.headers["content-length"] === undefined &&
    head.headers["transfer-encoding"] === undefined;
}
