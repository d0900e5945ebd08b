/** HTTP server for callers: connections, limits, graceful shutdown. @module */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { Socket } from "node:net";
import { acceptQueueLength, ConnectionLimit } from "@sycamorepulley/decisions";
import { HeadReader } from "@sycamorepulley/receiving";
import type { HeadOptions } from "@sycamorepulley/receiving";
import { listen } from "../listen.ts";
import type { Address } from "../settings.ts";
import type { CallerLimits } from "../state/gateway_configuration.ts";

/**
 * Milliseconds for which an idle connection is kept beyond the announced idle
 * timeout, so that a request sent at the last moment doesn't arrive as the
 * connection closes.
 */
const IDLE_MARGIN = 3000;
/** Milliseconds between checks for connections that send a request slowly. */
const CONNECTION_CHECK_INTERVAL = 500;
/** Maximum bytes of a head while no configuration states a limit. */
const DEFAULT_HEAD_BYTES = 16 * 1024;
/** Milliseconds to receive a whole request: the longest deadline of callers. */
const REQUEST_TIMEOUT = 15_000;

/** Handles one request to its end. */
export type HandleRequest = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Counts the connections of callers. */
export type ConnectionCounters = {
  accepted: () => void;
  /** A connection ended before a request was read. */
  unread: () => void;
  /** A connection was closed for another one. */
  replaced: () => void;
};

export type FrontendOptions = {
  handle: HandleRequest;
  /** Refuses a request whose headers don't fit into the heap. */
  refuse: HandleRequest;
  counters: ConnectionCounters;
  heads: Omit<HeadOptions, "onConnection">;
  /** Connections that may be open at the same time. */
  maxConnections?: number;
  /** Called once if the address to listen at is in use. */
  onAddressInUse?: (address: Address) => void;
};

/** Accepts callers' connections and passes their requests to a handler. */
export class HttpFrontend {
  /** Node.js reads the largest size of a head for each connection. */
  readonly #server: Server & { maxHeaderSize?: number };
  readonly #counters: ConnectionCounters;
  readonly #connections = new Set<Socket>();
  /** Connections on which no request has been read. */
  readonly #unreadConnections = new WeakSet<Socket>();
  /** Responses that announce the end of their connections. */
  readonly #closingResponses = new WeakMap<Socket, ServerResponse>();
  /** Responses in progress; more than one if a caller pipelines. */
  readonly #openResponses = new Map<Socket, Set<ServerResponse>>();
  /** Bytes that had been read of a connection when its last response ended. */
  readonly #bytesReadBefore = new WeakMap<Socket, number>();
  readonly #limit: ConnectionLimit<Socket>;
  readonly #heads: HeadReader;
  readonly #refuse: HandleRequest;
  readonly #onAddressInUse: (address: Address) => void;
  #unsentConnections = 0;
  #draining = false;

  constructor(options: FrontendOptions) {
    const { handle, counters, maxConnections = Infinity } = options;
    this.#counters = counters;
    this.#limit = new ConnectionLimit(maxConnections);
    this.#refuse = options.refuse;
    this.#onAddressInUse = options.onAddressInUse ?? (() => {});
    this.#server = createServer(
      {
        maxHeaderSize: DEFAULT_HEAD_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL,
        requestTimeout: REQUEST_TIMEOUT,
        noDelay: true,
      },
      (request, response) => {
        response.sendDate = false;
        const { socket } = request;
        this.#unreadConnections.delete(socket);
        this.#limit.recordHead(socket);
        request.once("end", () => {
          if (!response.writableFinished) this.#limit.recordRequest(socket);
        });
        if (!this.#admit(socket, response)) return;
        const headers = request.rawHeaders.length / 2;
        if (this.#heads.admitParsed(socket, headers)) handle(request, response);
        else this.#refuse(request, response);
      },
    );
    this.#heads = new HeadReader(this.#server, {
      ...options.heads,
      onConnection: (socket) => this.#countConnection(socket),
    });
  }

  /** Applies the limits of a new configuration to connections from now on. */
  applyLimits(limits: CallerLimits): void {
    // Without separators, a head within the limit is shorter for the parser.
    this.#server.maxHeaderSize = limits.headerBytes;
    this.#server.headersTimeout = limits.headerTimeout;
    this.#server.keepAliveTimeout = limits.idleTimeout + IDLE_MARGIN;
  }

  /** `cores`: processor cores that this process may use. */
  listen(address: Address, cores: number): Promise<number> {
    return listen(this.#server, address, {
      backlog: acceptQueueLength(cores),
      onInUse: this.#onAddressInUse,
    });
  }

  /**
   * Responses now close their connections; new ones are still accepted. A
   * connection whose response has already begun stays open for one more request,
   * as that request may be on its way when the response ends.
   */
  startDraining(): void {
    this.#draining = true;
    for (const [socket, responses] of this.#openResponses) {
      const last = [...responses].at(-1);
      if (last?.headersSent === false) this.#closeAfter(socket, last);
    }
  }

  /** Accepts no more connections, and closes idle ones. */
  stopListening(): void {
    // The method of the HTTP server also closes connections whose response is
    // complete but not handed over to the operating system yet.
    NetServer.prototype.close.call(this.#server);
    this.closeIdleConnections();
  }

  /** Closes connections without a request or a response in progress. */
  closeIdleConnections(): void {
    for (const socket of this.#connections) {
      const isReading =
        socket.bytesRead > (this.#bytesReadBefore.get(socket) ?? 0);
      if (!this.#openResponses.has(socket) && !isReading) socket.destroy();
    }
  }

  closeAllConnections(): void {
    this.#unsentConnections += this.#openResponses.size;
    this.#server.close();
    this.#heads.closeAll();
    this.#server.closeAllConnections();
  }

  /**
   * Number of connections that were closed before their responses were handed
   * over whole to the operating system.
   */
  get unsentConnections(): number {
    return this.#unsentConnections;
  }

  #countConnection(socket: Socket): void {
    this.#counters.accepted();
    this.#connections.add(socket);
    this.#unreadConnections.add(socket);
    socket.once("close", () => {
      this.#heads.release(socket);
      this.#limit.remove(socket);
      this.#connections.delete(socket);
      this.#openResponses.delete(socket);
      if (this.#unreadConnections.has(socket)) this.#counters.unread();
    });
    this.#closeOneOf(socket);
  }

  /** Closes a connection if there are too many with a new one. */
  #closeOneOf(socket: Socket): void {
    const closed = this.#limit.add(socket);
    if (closed === undefined) return;
    this.#limit.remove(closed);
    this.#counters.replaced();
    closed.destroy();
  }

  /** False if the response could not be sent on the request's connection. */
  #admit(socket: Socket, response: ServerResponse): boolean {
    const closing = this.#closingResponses.get(socket);
    if (closing?.headersSent === true) return false;
    // The caller pipelines: the connection ends with this response instead.
    closing?.removeHeader("connection");
    const responses = this.#openResponses.get(socket) ?? new Set();
    this.#openResponses.set(socket, responses.add(response));
    response.once("finish", () => this.#handleFinish(socket, response));
    if (this.#draining) this.#closeAfter(socket, response);
    return true;
  }

  /** Announces that the connection ends with a response that has not begun. */
  #closeAfter(socket: Socket, response: ServerResponse): void {
    response.setHeader("connection", "close");
    this.#closingResponses.set(socket, response);
  }

  #handleFinish(socket: Socket, response: ServerResponse): void {
    this.#bytesReadBefore.set(socket, socket.bytesRead);
    const responses = this.#openResponses.get(socket);
    responses?.delete(response);
    if (responses?.size !== 0) return;
    this.#openResponses.delete(socket);
    this.#heads.release(socket);
    this.#limit.recordIdle(socket);
    const isCrowded = this.#heads.isCrowded(this.#connections.size);
    // What follows an incomplete request is its body.
    if (isCrowded && response.req.complete && !socket.destroyed) {
      this.#heads.readNext(socket, () => performance.now());
    }
  }
}
