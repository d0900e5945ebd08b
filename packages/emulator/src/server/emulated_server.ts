/** HTTP servers on loopback that can be stopped gently or as by a crash. @module */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A started emulator. */
export type EmulatedServer = {
  /** `http://host:port`, without a slash at the end. */
  url: string;
  port: number;
  /** Closes the listening socket and every connection. */
  close(): Promise<void>;
};

/** Where an emulator listens; port 0 takes a free one. */
export type ListenOptions = { host?: string; port?: number };

/** Handles one request; what it throws becomes status 500. */
export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Starts an HTTP server and resolves once it listens. */
export async function listen(
  listener: RequestListener,
  { host = "127.0.0.1", port = 0 }: ListenOptions,
): Promise<EmulatedServer> {
  const server = createServer(listener);
  await listening(server, host, port);
  const address = server.address() as AddressInfo;
  return {
    url: `http://${host}:${address.port}`,
    port: address.port,
    close: () => close(server),
  };
}

function listening(server: Server, host: string, port: number): Promise<void> {
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
