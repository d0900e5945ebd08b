/**
 * The HTTP interface for callers: OpenAI-style chat completions, and plain
 * services by their names.
 * @module
 */
import { acceptQueueLength, ConnectionLimit } from "@sycamorepulley/decisions";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { Socket } from "node:net";
import { HeadReader } from "@sycamorepulley/receiving";
import type { HeadOptions } from "@sycamorepulley/receiving";
import polka from "polka";
import type { Request } from "polka";
import { monotonicNow } from "../common/clock.ts";
import { listen } from "../common/listen.ts";
import type { Address } from "../common/settings.ts";

/** Path of chat completions. The body's `model` determines the service. */
export const CHAT_COMPLETIONS_PATH = "/v1/chat/completions";
/**
 * Prefix of the paths of plain services, which have the form
 * `/services/{service}/{path at the backend server}`.
 */
export const SERVICE_PATH_PREFIX = "/services/";

/** Milliseconds between checks for requests that take too long to arrive. */
const CONNECTION_CHECK_INTERVAL = 1000;

/** Serves one caller's request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Options of {@link startHttpFrontend}. */
export type HttpFrontendOptions = {
  address: Address;
  maxHeaderBytes: number;
  /** Milliseconds in which a caller must have sent its whole request. */
  requestTimeout: number;
  /** Open at the same time; beyond it, new ones replace others. */
  maxConnections: number;
  /** Called when a connection was closed for a new one. */
  onReplaced?: () => void;
  heads: Omit<HeadOptions, "onConnection">;
  /** Processor cores that this process may use. */
  processors: number;
  handle: RequestHandler;
  /** While it returns true, responses ask the load balancer to disconnect. */
  isDraining: () => boolean;
};

/** HTTP status of a request whose headers don't fit into the memory. */
const UNAVAILABLE = 503;

/** A started server and the port it listens on. */
export type HttpFrontend = {
  port: number;
  /** Stops accepting connections; resolves when the last response was sent. */
  close: () => Promise<void>;
};

/** Starts the HTTP server for callers. */
export async function startHttpFrontend(
  options: HttpFrontendOptions,
): Promise<HttpFrontend> {
  const { address, processors } = options;
  const { maxHeaderBytes, maxConnections, requestTimeout } = options;
  const { handle, isDraining, onReplaced = () => {} } = options;
  const serve = (request: IncomingMessage, response: ServerResponse) => {
    // The load balancer's list lags a shutdown. The requests that it still
    // sends must be served and its connections asked to close; otherwise those
    // requests would be cut off.
    if (isDraining()) response.setHeader("connection", "close");
    void handle(request, response);
  };
  const application = polka({
    onNoMatch: serve,
    onError: (_error, _request, response) => response.end(),
  })
    .post(CHAT_COMPLETIONS_PATH, serve)
    .all(`${SERVICE_PATH_PREFIX}*`, serve);
  // polka only handles requests of servers that it starts itself, so its
  // handler is called directly.
  const connections = new OpenConnections(maxConnections, onReplaced);
  const server = createServer(
    {
      maxHeaderSize: maxHeaderBytes,
      // Only until a request is whole: its own deadline bounds the response.
      requestTimeout,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL,
    },
    (request, response) => {
      const { socket } = request;
      const isAdmitted = heads
        .admitParsed(socket, request.rawHeaders.length / 2);
      connections.addRequest(request, response);
      if (isAdmitted) application.handler(request as Request, response);
      else refuse(request, response, options.heads);
    },
  );
  const heads = new HeadReader(server, {
    ...options.heads,
    onConnection: (socket) => {
      connections.add(socket);
      socket.once("close", () => heads.release(socket));
    },
  });
  connections.onIdle((socket, request) => {
    heads.release(socket);
    const isCrowded = heads.isCrowded(connections.count);
    // What follows an incomplete request is its body.
    if (isCrowded && request.complete && !socket.destroyed) {
      heads.readNext(socket, monotonicNow);
    }
  });
  const port = await listen(server, address, acceptQueueLength(processors));
  const close = () =>
    new Promise<void>((resolve) => {
      // The methods of the HTTP server also close connections whose response is
      // complete but not handed over to the operating system yet.
      NetServer.prototype.close.call(server, () => resolve());
      connections.closeIdle();
    });
  return { port, close };
}

function refuse(
  request: IncomingMessage,
  response: ServerResponse,
  { onRefused, retryAfter }: HttpFrontendOptions["heads"],
): void {
  onRefused();
  request.resume();
  response.writeHead(UNAVAILABLE, {
    connection: "close",
    "retry-after": (retryAfter() / 1000).toFixed(2),
  }).end();
}

/** `request` is the last one of the connection. */
type IdleAction = (socket: Socket, request: IncomingMessage) => void;

/** The connections of callers, and the responses that they wait for. */
class OpenConnections {
  readonly #responses = new Map<Socket, Set<ServerResponse>>();
  readonly #limit: ConnectionLimit<Socket>;
  readonly #onReplaced: () => void;
  #onIdle: IdleAction = () => {};

  constructor(maxConnections: number, onReplaced: () => void) {
    this.#limit = new ConnectionLimit(maxConnections);
    this.#onReplaced = onReplaced;
  }

  get count(): number {
    return this.#responses.size;
  }

  /** Calls `action` once a connection has no request in progress. */
  onIdle(action: IdleAction): void {
    this.#onIdle = action;
  }

  add(socket: Socket): void {
    this.#responses.set(socket, new Set());
    socket.once("close", () => this.#remove(socket));
    const closed = this.#limit.add(socket);
    if (closed === undefined) return;
    this.#remove(closed);
    this.#onReplaced();
    closed.destroy();
  }

  addRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    this.#limit.recordHead(socket);
    request.once("end", () => {
      if (!response.writableFinished) this.#limit.recordRequest(socket);
    });
    const responses = this.#responses.get(socket);
    responses?.add(response);
    response.once("finish", () => {
      responses?.delete(response);
      if (responses?.size !== 0) return;
      this.#limit.recordIdle(socket);
      this.#onIdle(socket, request);
    });
  }

  /** Closes connections without an open response. */
  closeIdle(): void {
    for (const [socket, responses] of this.#responses) {
      if (responses.size === 0) socket.destroy();
    }
  }

  #remove(socket: Socket): void {
    this.#limit.remove(socket);
    this.#responses.delete(socket);
  }
}
