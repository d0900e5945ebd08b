import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** What a stand-in server got. */
export type ReceivedRequest = {
  method: string;
  target: string;
  headers: IncomingMessage["headers"];
  body: string;
};

/** Answers one request; `socket` is for faults. */
export type Respond = (
  response: ServerResponse,
  received: ReceivedRequest,
  socket: Socket,
) => void;

/** A backend server of tests: records what it gets, answers as told. */
export class FakeBackendServer {
  readonly receivedRequests: ReceivedRequest[] = [];
  readonly #server: Server;
  respond: Respond = (response, received) =>
    writeSealedHead(response, received).end("ok");
  closedConnections = 0;

  constructor() {
    this.#server = createServer((request, response) => {
      let body = "";
      request.on("data", (chunk: Buffer) => body += chunk.toString());
      request.on("end", () => {
        const { method = "", url: target = "", headers } = request;
        const received = { method, target, headers, body };
        this.receivedRequests.push(received);
        this.respond(response, received, request.socket);
      });
    });
    this.#server.on("connection", (socket) => {
      socket.on("close", () => this.closedConnections++);
      socket.on("error", () => {});
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** The head of a server's own answer. */
export function writeSealedHead(
  response: ServerResponse,
  received: ReceivedRequest,
  headers: Record<string, string> = {},
): ServerResponse {
  return response.writeHead(200, {
    "x-request": String(received.headers["x-request"]),
    "x-seal": "sealed",
    ...headers,
  });
}

/** The same for a stream of events. */
export function startEventStream(
  response: ServerResponse,
  received: ReceivedRequest,
): ServerResponse {
  return writeSealedHead(response, received, {
    "content-type": "text/event-stream",
  });
}

/** One event of a stream. */
export function streamEvent(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** The start of an answer as bytes, on a connection that is to close after it. */
export function rawResponseHead(received: ReceivedRequest): string {
  const name = String(received.headers["x-request"]);
  return `HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request: ${name}\r\n` +
    "X-Seal: sealed\r\n";
}
