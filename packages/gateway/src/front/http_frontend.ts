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
const CONNECTION_CHECK_INTERVAL = 500;
/** Largest head that is read at all; the configured bound is checked after. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Milliseconds for a whole body: callers' longest deadline. */
const REQUEST_TIMEOUT = 15_000;

/** Serves one request to its end. */
export type HandleRequest = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** See the module. */
export class HttpFrontend {
  readonly #server: Server;
  /** Connections that this side has ended and the caller not yet. */
  readonly #endedConnections = new WeakSet<Socket>();
  #draining = false;

  constructor(serve: HandleRequest) {
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL,
        requestTimeout: REQUEST_TIMEOUT,
        noDelay: true,
      },
      (request, response) => {
        response.sendDate = false;
        if (this.#draining) response.setHeader("connection", "close");
        if (this.#endedConnections.has(request.socket)) {
          // It crossed the end of its connection. Passed on, it would run, and
          // its answer would have nowhere to go.
          request.socket.destroy();
          return;
        }
        // An answer that began before the stop did not say so: its connection
        // would be kept, and a request on it taken when no time is left for it.
        response.once("finish", () => {
          if (this.#draining) this.#endConnection(request.socket);
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
    this.#draining = true;
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

  #endConnection(socket: Socket): void {
    this.#endedConnections.add(socket);
    socket.end();
  }
}
