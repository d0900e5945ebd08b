/**
 * A connection to a backend server, for one request at a time.
 *
 * The connection is opened before anything is sent on it: if connecting fails,
 * the request has certainly not run; after a later failure it may have run.
 * Unsolicited bytes from the server close the connection, as they would be
 * taken for the next response.
 * @module
 */
import { judgeConnectionEnd } from "@sycamorepulley/decisions";
import type {
  ConnectionEnd,
  ConnectionEndVerdict,
  ResetDetection,
} from "@sycamorepulley/decisions";
import { connect, isIPv6 } from "node:net";
import { Result } from "true-myth/result";
import { Client } from "undici";
import type { Dispatcher } from "undici";
import { isCloseDelimited, NOT_MODIFIED } from "./close_delimited.ts";
import { HeadChecks } from "./head_checks.ts";
import { PausableSocket } from "./pausable_socket.ts";
import { ConnectionState } from "@sycamorepulley/receiving";

/** Why no connection could be opened. */
export type ConnectFailure = "connection_refused" | "connection_timeout";

/** A request to a backend server. */
export type BackendRequest = {
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer | undefined;
};

/** Status and headers of a response; header names are in lower case. */
export type ResponseHead = {
  status: number;
  headers: Record<string, string | string[] | undefined>;
};

/** Receives one response; nothing follows `onEnd` or `onError`. */
export abstract class ResponseListener {
  abstract onHead(head: ResponseHead): void;
  abstract onData(chunk: Buffer): void;
  /** The response is complete as far as its framing tells. */
  abstract onEnd(): void;
  abstract onError(detail: string): void;
}

/** Controls a request that was sent; nothing has an effect after its end. */
export type SentRequest = {
  /** Closes the connection; nothing is passed to the listener any more. */
  abort(): void;
  /**
   * Reads nothing more from the server. Bytes that were read already, at most
   * 64 KiB, still reach the listener.
   */
  pause(): void;
  resume(): void;
};

/** Idle timeout of a server that does not state one, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT = 1000;
/**
 * Milliseconds subtracted from a stated idle timeout, as a request may still be
 * on its way when the server closes the connection.
 */
const IDLE_MARGIN = 1000;

/** How a response without a length ended; `end` as it was found then. */
export type CloseDelimitedEnd = {
  end: ConnectionEnd | undefined;
  detection: ResetDetection;
  verdict: ConnectionEndVerdict;
};

/** What {@link BackendConnection.open} needs; times in milliseconds. */
type OpenOptions = {
  host: string;
  port: number;
  timeout: number;
  now: number;
  /** Whether resets are known to show on this machine. */
  resetDetection: () => ResetDetection;
};

/** Wraps a connected socket in an HTTP client that never reconnects. */
export class BackendConnection {
  readonly state: ConnectionState;
  readonly #socket: PausableSocket;
  readonly #client: Client;
  readonly #resetDetection: () => ResetDetection;
  #closed = false;
  #idleSince: number;
  #idleTimeout = DEFAULT_IDLE_TIMEOUT;
  #closeDelimitedEnd: CloseDelimitedEnd | undefined;

  private constructor(
    socket: PausableSocket,
    origin: string,
    { now, resetDetection }: Pick<OpenOptions, "now" | "resetDetection">,
  ) {
    this.#socket = socket;
    this.#resetDetection = resetDetection;
    this.state = new ConnectionState(socket, socket);
    this.state.isIdle = false;
    this.#idleSince = now;
    socket.once("close", () => this.#closed = true);
    socket.on("error", () => socket.destroy());
    let socketUsed = false;
    this.#client = new Client(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 60_000,
      maxHeaderSize: 64 * 1024,
      connect: (_options, callback) => {
        // The client reconnects on its own, but a request must not be sent on a
        // new connection.
        if (socketUsed || this.#closed) {
          callback(new Error("the connection is closed"), null);
          return;
        }
        socketUsed = true;
        // The client expects the callback to be called asynchronously.
        queueMicrotask(() => callback(null, socket));
      },
    });
    this.#client.on("connectionError", () => this.close());
  }

  /** Connects within `timeout` milliseconds. */
  static open(
    options: OpenOptions,
  ): Promise<Result<BackendConnection, ConnectFailure>> {
    const { host, port, timeout } = options;
    return new Promise((resolve) => {
      const socket = new PausableSocket();
      socket.setNoDelay(true);
      socket.connect({ host, port });
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
        const origin = `http://${isIPv6(host) ? `[${host}]` : host}`;
        resolve(Result.ok(new BackendConnection(socket, origin, options)));
      });
    });
  }

  /**
   * False if the server may be closing the connection. `strict`: only a quarter
   * of the idle timeout is used, for requests that must not be repeated.
   */
  isUsable(now: number, strict: boolean): boolean {
    if (this.#closed || this.#socket.destroyed) return false;
    const idle = now - this.#idleSince;
    return idle < (strict ? this.#idleTimeout / 4 : this.#idleTimeout);
  }

  /** Set once a response that ends with this connection has ended. */
  get closeDelimitedEnd(): CloseDelimitedEnd | undefined {
    return this.#closeDelimitedEnd;
  }

  send(request: BackendRequest, listener: ResponseListener): SentRequest {
    const handler = new ResponseHandler(listener, {
      isHead: request.method === "HEAD",
      onHeaders: (headers) => this.#readIdleTimeout(headers),
      onFinish: () => this.#socket.resumeReading(),
      judgeEnd: () => this.#judgeEnd(),
    });
    const checks = new HeadChecks();
    this.#socket.check = (bytes) => checks.check(bytes);
    this.#client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body ?? null,
      idempotent: false,
    }, handler);
    return {
      abort: () => {
        handler.detach();
        this.close();
      },
      pause: () => {
        if (!handler.isFinished) this.#socket.pauseReading();
      },
      resume: () => {
        if (!handler.isFinished) this.#socket.resumeReading();
      },
    };
  }

  /** Marks the connection as idle since `now`, after a complete response. */
  markIdle(now: number): void {
    this.#idleSince = now;
    this.state.isIdle = true;
  }

  onceClosed(action: () => void): void {
    this.#socket.once("close", action);
  }

  close(): void {
    this.#closed = true;
    this.#client.destroy().catch(() => {});
    this.#socket.destroy();
  }

  #judgeEnd(): ConnectionEndVerdict {
    const end = this.#socket.connectionEnd;
    const detection = this.#resetDetection();
    const verdict = judgeConnectionEnd(end, detection);
    this.#closeDelimitedEnd = { end, detection, verdict };
    return verdict;
  }

  #readIdleTimeout(headers: ResponseHead["headers"]): void {
    if (String(headers.connection ?? "").toLowerCase() === "close") {
      this.#idleTimeout = 0;
      return;
    }
    const statedSeconds = /timeout=(\d+)/.exec(
      String(headers["keep-alive"] ?? ""),
    )
      ?.[1];
    if (statedSeconds === undefined) return;
    this.#idleTimeout = Math.max(0, Number(statedSeconds) * 1000 - IDLE_MARGIN);
  }
}

/**
 * Resolves to true if nothing listens at the address. Other failures, and a
 * server that does not respond within `timeout` milliseconds, show nothing.
 */
export function isConnectionRefused(
  options: { host: string; port: number; timeout: number },
): Promise<boolean> {
  const { host, port, timeout } = options;
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(timeout, () => finish(false));
    socket.once("connect", () => finish(false));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"),
    );
  });
}

/** What the handler of a response needs from its connection. */
type ConnectionHooks = {
  /** True if the request is a `HEAD`, whose response has no body. */
  isHead: boolean;
  onHeaders: (headers: ResponseHead["headers"]) => void;
  /** Called at the end of the response, before the listener. */
  onFinish: () => void;
  /** Judges the end of the connection, which is that of the response. */
  judgeEnd: () => ConnectionEndVerdict;
};

/** Why a response without a length is not known to be whole. */
const INCOMPLETE = { reset: "cut", unproven: "unproven end" } as const;

class ResponseHandler implements Dispatcher.DispatchHandler {
  readonly #listener: ResponseListener;
  readonly #hooks: ConnectionHooks;
  #finished = false;
  #isNotModified = false;
  #endsWithConnection = false;

  constructor(
    listener: ResponseListener,
    hooks: ConnectionHooks,
  ) {
    this.#listener = listener;
    this.#hooks = hooks;
  }

  /** True after the end of the response, and if it was aborted. */
  get isFinished(): boolean {
    return this.#finished;
  }

  /** Passes nothing on to the listener from now on. */
  detach(): void {
    this.#finished = true;
  }

  onRequestStart(): void {}

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHead["headers"],
  ): void {
    if (this.#finished || status < 200) return;
    this.#isNotModified = status === NOT_MODIFIED;
    this.#endsWithConnection = !this.#hooks.isHead &&
      isCloseDelimited({ status, headers });
    this.#hooks.onHeaders(headers);
    this.#listener.onHead({ status, headers });
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#finished) this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#hooks.onFinish();
    // undici takes a reset for the end of a response without a length.
    const verdict = this.#endsWithConnection
      ? this.#hooks.judgeEnd()
      : "regular";
    if (verdict === "regular") this.#listener.onEnd();
    else this.#listener.onError(INCOMPLETE[verdict]);
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#finished) return;
    this.#finished = true;
    if (this.#endsWithConnection) this.#hooks.judgeEnd();
    // undici expects a body of the stated length, which is that of the whole.
    if (this.#isNotModified) this.#listener.onEnd();
    else this.#listener.onError(error.message);
  }
}
