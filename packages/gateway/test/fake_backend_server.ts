import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** A request that a fake backend server received. */
export type ReceivedRequest = {
  method: string;
  target: string;
  headers: IncomingMessage["headers"];
  body: string;
};

/** Responds to one request; `socket` allows connection failures. */
export type Respond = (
  response: ServerResponse,
  received: ReceivedRequest,
  socket: Socket,
) => void;

/** Backend server for tests: records requests, and responds by `respond`. */
export class FakeBackendServer {
  readonly receivedRequests: ReceivedRequest[] = [];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #port = 0;
  respond: Respond = (response, received) =>
    writeSealedHead(response, received).end("ok");
  closedConnections = 0;
  #isSilent = false;

  constructor() {
    this.#server = createServer((request, response) => {
      if (this.#isSilent) return;
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
      this.#sockets.add(socket);
      socket.on("close", () => {
        this.#sockets.delete(socket);
        this.closedConnections++;
      });
      socket.on("error", () => {});
    });
  }

  /** Listens on any free port, or on the same one after a crash. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(this.#port, "127.0.0.1", () => resolve())
    );
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  get port(): number {
    return this.#port;
  }

  /** Closes all connections and stops listening; `start` may follow. */
  async crash(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#destroySockets();
    await closed;
  }

  /** Refuses new connections from now on, and keeps the open ones. */
  stopListening(): void {
    this.#server.close();
  }

  get openConnections(): number {
    return this.#sockets.size;
  }

  /** Accepts connections from now on, but neither reads nor responds. */
  fallSilent(options: { breaksConnections: boolean }): void {
    this.#isSilent = true;
    if (options.breaksConnections) this.#destroySockets();
  }

  /** Ends a silence, as another start of the server at the same address. */
  startAnew(): void {
    this.#destroySockets();
    this.#isSilent = false;
  }

  /** Closes all connections but `kept`. */
  closeOtherConnections(kept: Socket): void {
    for (const socket of this.#sockets) {
      if (socket !== kept) socket.destroy();
    }
  }

  #destroySockets(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Writes the head of a response with request id and seal. */
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

/** Writes the head of a response that is a stream of events. */
export function startEventStream(
  response: ServerResponse,
  received: ReceivedRequest,
): ServerResponse {
  return writeSealedHead(response, received, {
    "content-type": "text/event-stream",
  });
}

/** Text of one event of a stream. */
export function streamEvent(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Start of a raw HTTP response whose connection closes after it. */
export function rawResponseHead(received: ReceivedRequest): string {
  const requestId = String(received.headers["x-request"]);
  return `HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request: ${requestId}\r\n` +
    "X-Seal: sealed\r\n";
}
