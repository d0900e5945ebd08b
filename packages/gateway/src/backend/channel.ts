/**
 * One connection to one backend server, for one request at a time.
 *
 * The connection is opened before anything is sent on it, so that a failure to
 * connect is known to have run nothing; what fails later may have run. Bytes
 * that nobody asked for close it: they would be taken for the next answer.
 * @module
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { Result } from "true-myth/result";
import { Client } from "undici";
import type { Dispatcher } from "undici";

/** Why no connection could be opened. */
export type ConnectFailure = "connection_refused" | "connection_timeout";

/** What is sent to a backend server. */
export type BackendRequest = {
  method: string;
  target: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer | undefined;
};

/** Status and headers of an answer; names are lower case. */
export type AnswerHead = {
  status: number;
  headers: Record<string, string | string[] | undefined>;
};

/** Hears one answer; after `ended` or `failed` nothing more comes. */
export abstract class AnswerListener {
  abstract head(head: AnswerHead): void;
  abstract data(chunk: Buffer): void;
  /** The answer is whole as far as its framing tells. */
  abstract ended(): void;
  abstract failed(detail: string): void;
}

/** Time a server holds an idle connection open, if it does not say, in ms. */
const UNSTATED_IDLE = 1000;
/** Milliseconds off the stated time: an answer and a request may cross. */
const IDLE_MARGIN = 1000;

/** See the module. */
export class Channel {
  readonly #socket: Socket;
  readonly #client: Client;
  #closed = false;
  #reset = false;
  #idleSince: number;
  #idleLimit = UNSTATED_IDLE;

  private constructor(socket: Socket, now: number) {
    this.#socket = socket;
    this.#idleSince = now;
    socket.once("close", () => this.#closed = true);
    // undici takes a reset for the end of an answer that has no length; such an
    // answer would look whole, and isn't. This listener hears the reset first.
    socket.on("error", () => {
      this.#reset = true;
      socket.destroy();
    });
    let handedOut = false;
    this.#client = new Client(`http://${socket.remoteAddress}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 60_000,
      maxHeaderSize: 64 * 1024,
      connect: (_options, callback) => {
        // A client reconnects by itself; a request must never follow it there.
        if (handedOut || this.#closed) {
          callback(new Error("the connection is closed"), null);
          return;
        }
        handedOut = true;
        // The client expects a connection later, never within its own call.
        queueMicrotask(() => callback(null, socket));
      },
    });
    this.#client.on("connectionError", () => this.close());
  }

  /** Connects within `timeout` milliseconds. */
  static open(
    options: { host: string; port: number; timeout: number; now: number },
  ): Promise<Result<Channel, ConnectFailure>> {
    const { host, port, timeout, now } = options;
    return new Promise((resolve) => {
      const socket = connect({ host, port, noDelay: true });
      const fail = (reason: ConnectFailure) => {
        socket.destroy();
        resolve(Result.err(reason));
      };
      const refused = () => fail("connection_refused");
      socket.setTimeout(timeout, () => fail("connection_timeout"));
      socket.once("error", refused);
      socket.once("connect", () => {
        socket.setTimeout(0);
        socket.off("error", refused);
        resolve(Result.ok(new Channel(socket, now)));
      });
    });
  }

  /** False when the server may be closing it; `strict` leaves a wide margin. */
  usable(now: number, strict: boolean): boolean {
    if (this.#closed || this.#socket.destroyed) return false;
    const idle = now - this.#idleSince;
    return idle < (strict ? this.#idleLimit / 4 : this.#idleLimit);
  }

  /** Sends one request; the result aborts it, which closes the connection. */
  send(request: BackendRequest, listener: AnswerListener): () => void {
    const handler = new Handler(listener, {
      learn: (headers) => this.#learnIdle(headers),
      cut: () => this.#reset,
    });
    this.#client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body ?? null,
      idempotent: false,
    }, handler);
    return () => {
      handler.silence();
      this.close();
    };
  }

  /** States that the last answer is over, whole, at `now`. */
  rest(now: number): void {
    this.#idleSince = now;
  }

  close(): void {
    this.#closed = true;
    this.#client.destroy().catch(() => {});
    this.#socket.destroy();
  }

  #learnIdle(headers: AnswerHead["headers"]): void {
    if (String(headers.connection ?? "").toLowerCase() === "close") {
      this.#idleLimit = 0;
      return;
    }
    const stated = /timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""))
      ?.[1];
    if (stated === undefined) return;
    this.#idleLimit = Math.max(0, Number(stated) * 1000 - IDLE_MARGIN);
  }
}

/** What the handler of an answer needs of its connection. */
type HandlerChannel = {
  learn: (headers: AnswerHead["headers"]) => void;
  /** True if the connection ended before the answer; asked at its end. */
  cut: () => boolean;
};

class Handler implements Dispatcher.DispatchHandler {
  readonly #listener: AnswerListener;
  readonly #channel: HandlerChannel;
  #over = false;

  constructor(
    listener: AnswerListener,
    channel: HandlerChannel,
  ) {
    this.#listener = listener;
    this.#channel = channel;
  }

  silence(): void {
    this.#over = true;
  }

  onRequestStart(): void {}

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHead["headers"],
  ): void {
    if (this.#over || status < 200) return;
    this.#channel.learn(headers);
    this.#listener.head({ status, headers });
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#over) this.#listener.data(chunk);
  }

  onResponseEnd(): void {
    if (this.#over) return;
    this.#over = true;
    if (this.#channel.cut()) this.#listener.failed("cut");
    else this.#listener.ended();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#over) return;
    this.#over = true;
    this.#listener.failed(error.message);
  }
}
