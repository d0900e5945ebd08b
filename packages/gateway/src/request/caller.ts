/** The caller's side of one request: its body, its leaving, its answer. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth/result";
import type { AnswerHead } from "../backend/channel.ts";
import { answerHeaders } from "../front/forwarded_headers.ts";
import { reply } from "./reply.ts";
import type { ReplyReason } from "./reply.ts";

/** Writes at most one answer; knows when the caller has left. */
export class Caller {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  #onLeft = () => {};
  #left = false;
  #unframed = false;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.#request = request;
    this.#response = response;
    const left = () => this.#leave();
    // The socket tells at once; the request's own events come only while its
    // body is read.
    request.socket.once("end", left);
    request.socket.once("close", left);
    response.once("close", () => {
      request.socket.off("end", left);
      request.socket.off("close", left);
      if (!response.writableFinished) this.#leave();
    });
  }

  /** Calls `action` when the caller leaves, once. */
  onLeft(action: () => void): void {
    this.#onLeft = action;
  }

  get left(): boolean {
    return this.#left;
  }

  /** True once a part of a server's answer was passed on. */
  get begun(): boolean {
    return this.#response.headersSent;
  }

  /** The whole body, or `undefined` if it is longer than `largest` bytes. */
  body(
    largest: number,
  ): Promise<Result<Buffer | undefined, "too_large" | "cut">> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      this.#request.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size <= largest) chunks.push(chunk);
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

  refuse(status: number, reason: ReplyReason, retryAfter?: number): void {
    if (this.#left || this.begun) return;
    reply(this.#response, status, reason, retryAfter);
  }

  /** Passes a whole answer on. */
  answer(head: AnswerHead, body: Buffer): void {
    if (this.#left) return;
    const headers = answerHeaders(head.headers);
    if (isUnframed(head)) {
      this.#unframe();
    } else if (this.#request.method !== "HEAD" && head.status !== 304) {
      headers["content-length"] = String(body.length);
    }
    this.#response.writeHead(head.status, headers);
    this.#response.end(body);
  }

  begin(head: AnswerHead): void {
    if (this.#left || this.begun) return;
    if (isUnframed(head)) this.#unframe();
    this.#response.writeHead(head.status, answerHeaders(head.headers));
  }

  events(events: Buffer): void {
    if (!this.#left) this.#response.write(events);
  }

  /**
   * Ends a stream whose server's last part was `unframed` or not. Its end can't
   * be told from a crash, so a caller that was promised a framed end gets none.
   */
  end(unframed: boolean): void {
    if (this.#left) return;
    if (unframed && !this.#unframed) this.cut();
    else this.#response.end();
  }

  /** Ends the connection, so that the answer can't look whole. */
  cut(): void {
    this.#response.destroy();
  }

  /**
   * Lets the answer end with its connection, as its server's does. A server that
   * crashes closes its connections too: stated as a length, what had come of the
   * answer until then would look whole.
   */
  #unframe(): void {
    this.#unframed = true;
    this.#response.useChunkedEncodingByDefault = false;
    this.#response.shouldKeepAlive = false;
  }

  #leave(): void {
    if (this.#left || this.#response.writableFinished) return;
    this.#left = true;
    this.#onLeft();
  }
}

/** True for an answer that ends with its connection, whole or not. */
export function isUnframed(head: AnswerHead): boolean {
  return head.headers["content-length"] === undefined &&
    head.headers["transfer-encoding"] === undefined;
}
