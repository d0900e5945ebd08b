/**
 * Starts and closes HTTP servers, by default on the loopback address.
 * @module
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A started HTTP server of an emulator. */
export type EmulatedServer = {
  /** `http://host:port`, without a trailing slash. */
  url: string;
  port: number;
  /** Closes the listening socket and every connection. */
  close(): Promise<void>;
  /** Closes every connection and goes on listening. */
  closeConnections(): void;
};

/** Address that an emulator listens on; port 0 selects a free port. */
export type ListenOptions = { host?: string; port?: number };

/** Handles one request. */
export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Starts an HTTP server; resolves once it listens. */
export async function listen(
  listener: RequestListener,
  { host = "127.0.0.1", port = 0 }: ListenOptions,
): Promise<EmulatedServer> {
  const server = createServer(listener);
  await startListening(server, host, port);
  const address = server.address() as AddressInfo;
  return {
    url: `http://${host}:${address.port}`,
    port: address.port,
    close: () => close(server),
    closeConnections: () => server.closeAllConnections(),
  };
}

function startListening(
  server: Server,
  host: string,
  port: number,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
