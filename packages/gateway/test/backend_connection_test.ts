import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import {
  BackendConnection,
  ResponseListener,
} from "../src/backend/backend_connection.ts";
import type { SentRequest } from "../src/backend/backend_connection.ts";
import { waitUntil } from "./fixture.ts";

/** Milliseconds for which a response is paused. */
const PAUSE = 200;
const PIECE = "x".repeat(10_000);

/** Pauses a response at its first part. */
class PausingListener extends ResponseListener {
  request: SentRequest | undefined;
  received = 0;
  end: string | undefined;

  override onHead(): void {}

  override onData(chunk: Buffer): void {
    if (this.received === 0) this.request?.pause();
    this.received += chunk.length;
  }

  override onEnd(): void {
    this.end = "complete";
  }

  override onError(detail: string): void {
    this.end = detail;
  }
}

/** Sends the rest of a response and its end while the listener has paused. */
async function pauseDuring(
  head: string,
  sendRest: (socket: Socket) => void,
) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${PIECE}`);
      setTimeout(() => sendRest(socket), 30);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const connection = (await BackendConnection.open({
    host: "127.0.0.1",
    port,
    timeout: 1000,
    now: 0,
    resetDetection: () => "shown",
  })).unwrapOrElse((failure) => {
    throw new Error(failure);
  });
  const listener = new PausingListener();
  const request = { method: "GET", target: "/", headers: [], body: undefined };
  listener.request = connection.send(request, listener);
  await sleep(PAUSE);
  const receivedBefore = listener.received;
  return { listener, receivedBefore, connection, server };
}

t.test("a paused response arrives whole after its connection was reset", async (t) => {
  const { listener, receivedBefore, server } = await pauseDuring(
    "Content-Length: 30000",
    (socket) => {
      socket.write(PIECE);
      setTimeout(() => socket.write(PIECE), 20);
      setTimeout(() => socket.resetAndDestroy(), 40);
    },
  );
  t.equal(receivedBefore, PIECE.length);
  t.equal(listener.end, undefined);
  listener.request?.resume();
  t.ok(await waitUntil(() => listener.end !== undefined));
  t.match(listener, { received: 3 * PIECE.length, end: "complete" });
  server.close();
});

t.test("a paused response that ends with its connection arrives whole", async (t) => {
  const { listener, receivedBefore, server } = await pauseDuring(
    "Connection: close",
    (socket) => socket.end(PIECE),
  );
  t.equal(receivedBefore, PIECE.length);
  listener.request?.resume();
  t.ok(await waitUntil(() => listener.end !== undefined));
  t.match(listener, { received: 2 * PIECE.length, end: "complete" });
  server.close();
});

t.test("the end of a connection without further bytes is noticed while paused", async (t) => {
  // Guards against an assertion of the client that ends the whole process.
  const { listener, server } = await pauseDuring(
    "Connection: close",
    (socket) => socket.resetAndDestroy(),
  );
  t.equal(listener.end, "cut");
  server.close();
});

t.test("a paused response can be aborted", async (t) => {
  const { listener, receivedBefore, server } = await pauseDuring(
    "Connection: close",
    (socket) => socket.write(PIECE),
  );
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  listener.request?.abort();
  await closed;
  t.equal(listener.received, receivedBefore);
  t.equal(listener.end, undefined);
});
