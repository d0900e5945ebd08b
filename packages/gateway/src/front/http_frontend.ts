/** Callers' HTTP server: connections, limits, a graceful end. @module */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { listen } from "../listen.ts";
import type { Address } from "../settings.ts";
import type { CallerLimits } from "../state/gateway_configuration.ts";

/**
 * Milliseconds beyond the stated idle time for which a connection is kept: a
 * caller that uses it at the last moment must not meet its closing.
 */
const IDLE_MARGIN = 3000;
/** Milliseconds between checks of connections that are slow to send a request. */
const CHECK_EVERY = 500;
/** Largest head that is read at all; the configured bound is checked after. */
const LARGEST_HEAD = 64 * 1024;
/** Milliseconds for a whole body: callers' longest deadline. */
const BODY_TIMEOUT = 15_000;

/** Serves one request to its end. */
export type ServeRequest = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** See the module. */
export class HttpFrontend {
  readonly #server: Server;
  /** Connections that this side has ended and the caller not yet. */
  readonly #ended = new WeakSet<Socket>();
  #closing = false;

  constructor(serve: ServeRequest) {
    this.#server = createServer(
      {
        maxHeaderSize: LARGEST_HEAD,
        connectionsCheckingInterval: CHECK_EVERY,
        requestTimeout: BODY_TIMEOUT,
        noDelay: true,
      },
      (request, response) => {
        response.sendDate = false;
        if (this.#closing) response.setHeader("connection", "close");
        if (this.#ended.has(request.socket)) {
          // It crossed the end of its connection. Passed on, it would run, and
          // its answer would have nowhere to go.
          request.socket.destroy();
          return;
        }
        // An answer that began before the stop did not say so: its connection
        // would be kept, and a request on it taken when no time is left for it.
        response.once("finish", () => {
          if (this.#closing) this.#end(request.socket);
        });
        serve(request, response);
      },
    );
  }

  /** Applies the limits of a new configuration to what arrives from now on. */
  applyLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeout;
    this.#server.keepAliveTimeout = limits.idleTimeout + IDLE_MARGIN;
  }

  listen(address: Address): Promise<number> {
    return listen(this.#server, address);
  }

  /** Answers ask connections to end; new connections are still taken. */
  startDraining(): void {
    this.#closing = true;
  }

  /** Takes no connection any more and ends those that are idle. */
  stopListening(): void {
    this.#server.close();
    this.closeIdleConnections();
  }

  /** Ends connections that no request is on. */
  closeIdleConnections(): void {
    this.#server.closeIdleConnections();
  }

  /** Ends whatever is left. */
  closeAllConnections(): void {
    this.#server.closeAllConnections();
  }

  #end(socket: Socket): void {
    this.#ended.add(socket);
    socket.end();
  }
}
