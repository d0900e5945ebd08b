/**
 * Callers' HTTP interface: OpenAI-style chat completions, and plain services
 * under their names.
 * @module
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import polka from "polka";
import type { Request } from "polka";
import { listen } from "../common/listen.ts";
import type { Address } from "../common/settings.ts";

/** Path of chat completions; the service follows from the body's model. */
export const CHAT_PATH = "/v1/chat/completions";
/** Plain services: `/services/{service}/{path at the backend server}`. */
export const SERVICE_PREFIX = "/services/";

/** Serves one caller's request to its end. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Options of {@link startHttpFront}. */
export type HttpFrontOptions = {
  address: Address;
  headerBytes: number;
  connections: number;
  handle: RequestHandler;
  /** While true, answers ask the balancer's connections to end. */
  leaving: () => boolean;
};

/** A started server and the port it got. */
export type HttpFront = {
  port: number;
  /** Stops accepting; resolves when the last answer has gone out. */
  close: () => Promise<void>;
};

/** Listens for callers. */
export async function startHttpFront(
  options: HttpFrontOptions,
): Promise<HttpFront> {
  const { address, headerBytes, connections, handle, leaving } = options;
  const serve = (request: IncomingMessage, response: ServerResponse) => {
    // The balancer's list lags a stop: its connections must be answered and
    // told to end, or the requests that it still sends would be cut.
    if (leaving()) response.setHeader("connection", "close");
    void handle(request, response);
  };
  const application = polka({
    onNoMatch: serve,
    onError: (_error, _q, r) => r.end(),
  })
    .post(CHAT_PATH, serve)
    .all(`${SERVICE_PREFIX}*`, serve);
  // polka takes requests only of servers that it starts itself.
  const server: Server = createServer(
    {
      maxHeaderSize: headerBytes,
      // Answers may take minutes; a request's own deadline bounds them.
      requestTimeout: 0,
    },
    (request, response) => application.handler(request as Request, response),
  );
  server.maxConnections = connections;
  const port = await listen(server, address);
  return { port, close: () => closed(server) };
}

function closed(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
