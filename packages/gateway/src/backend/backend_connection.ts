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
export type ResponseHead = {
  status: number;
  headers: Record<string, string | string[] | undefined>;
};

/** Hears one answer; after `ended` or `failed` nothing more comes. */
export abstract class ResponseListener {
  abstract onHead(head: ResponseHead): void;
  abstract onData(chunk: Buffer): void;
  /** The answer is whole as far as its framing tells. */
  abstract onEnd(): void;
  abstract onError(detail: string): void;
}

/** Time a server holds an idle connection open, if it does not say, in ms. */
const DEFAULT_IDLE_TIMEOUT = 1000;
/** Milliseconds off the stated time: an answer and a request may cross. */
const IDLE_MARGIN = 1000;

/** See the module. */
export class BackendConnection {
  readonly #socket: Socket;
  readonly #client: Client;
  #closed = false;
  #wasReset = false;
  #idleSince: number;
  #idleTimeout = DEFAULT_IDLE_TIMEOUT;

  private constructor(socket: Socket, now: number) {
    this.#socket = socket;
    this.#idleSince = now;
    socket.once("close", () => this.#closed = true);
    // undici takes a reset for the end of an answer that has no length; such an
    // answer would look whole, and isn't. This listener hears the reset first.
    socket.on("error", () => {
      this.#wasReset = true;
      socket.destroy();
    });
    let socketUsed = false;
    this.#client = new Client(`http://${socket.remoteAddress}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 60_000,
      maxHeaderSize: 64 * 1024,
      connect: (_options, callback) => {
        // A client reconnects by itself; a request must never follow it there.
        if (socketUsed || this.#closed) {
          callback(new Error("the connection is closed"), null);
          return;
        }
        socketUsed = true;
        // The client expects a connection later, never within its own call.
        queueMicrotask(() => callback(null, socket));
      },
    });
    this.#client.on("connectionError", () => this.close());
  }

  /** Connects within `timeout` milliseconds. */
  static open(
    options: { host: string; port: number; timeout: number; now: number },
  ): Promise<Result<BackendConnection, ConnectFailure>> {
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
        resolve(Result.ok(new BackendConnection(socket, now)));
      });
    });
  }

  /** False when the server may be closing it; `strict` leaves a wide margin. */
  isUsable(now: number, strict: boolean): boolean {
    if (this.#closed || this.#socket.destroyed) return false;
    const idle = now - this.#idleSince;
    return idle < (strict ? this.#idleTimeout / 4 : this.#idleTimeout);
  }

  /** Sends one request; the result aborts it, which closes the connection. */
  send(request: BackendRequest, listener: ResponseListener): () => void {
    const handler = new ResponseHandler(listener, {
      onHeaders: (headers) => this.#readIdleTimeout(headers),
      cut: () => this.#wasReset,
    });
    this.#client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body ?? null,
      idempotent: false,
    }, handler);
    return () => {
      handler.detach();
      this.close();
    };
  }

  /** States that the last answer is over, whole, at `now`. */
  markIdle(now: number): void {
    this.#idleSince = now;
  }

  close(): void {
    this.#closed = true;
    this.#client.destroy().catch(() => {});
    this.#socket.destroy();
  }

  #readIdleTimeout(headers: ResponseHead["headers"]): void {
    if (String(headers.connection ?? "").toLowerCase() === "close") {
      this.#idleTimeout = 0;
      return;
    }
    const stated = /timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""))
      ?.[1];
    if (stated === undefined) return;
    this.#idleTimeout = Math.max(0, Number(stated) * 1000 - IDLE_MARGIN);
  }
}

/** What the handler of an answer needs of its connection. */
type ConnectionHooks = {
  onHeaders: (headers: ResponseHead["headers"]) => void;
  /** True if the connection ended before the answer; asked at its end. */
  cut: () => boolean;
};

class ResponseHandler implements Dispatcher.DispatchHandler {
  readonly #listener: ResponseListener;
  readonly #channel: ConnectionHooks;
  #over = false;

  constructor(
    listener: ResponseListener,
    channel: ConnectionHooks,
  ) {
    this.#listener = listener;
    this.#channel = channel;
  }

  detach(): void {
    this.#over = true;
  }

  onRequestStart(): void {}

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHead["headers"],
  ): void {
    if (this.#over || status < 200) return;
    this.#channel.onHeaders(headers);
    this.#listener.onHead({ status, headers });
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#over) this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#over) return;
    this.#over = true;
    if (this.#channel.cut()) this.#listener.onError("cut");
    else this.#listener.onEnd();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#over) return;
    this.#over = true;
    this.#listener.onError(error.message);
  }
}
