import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import {
  BackendConnection,
  ResponseListener,
} from "../src/backend/backend_connection.ts";
import { rawResponseHead, streamEvent } from "./fake_backend_server.ts";
import { Fixture, waitUntil } from "./fixture.ts";

const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const BODY = "part of a body";
/** Each way to end a response is tried this many times. */
const RUNS = 20;
/** Bytes of an upload that the buffers of a connection don't hold. */
const UPLOAD_BYTES = 4 * 1024 * 1024;

/** Records how a response ended. */
class EndListener extends ResponseListener {
  received = "";
  end: "whole" | "broken" | undefined;

  override onHead(): void {}

  override onData(chunk: Buffer): void {
    this.received += chunk.toString();
  }

  override onEnd(): void {
    this.end = "whole";
  }

  override onError(): void {
    this.end = "broken";
  }
}

/** Sends requests to a server that responds with `respond`; returns the ends. */
async function endsOf(
  respond: (socket: Socket) => void,
  body?: Buffer,
): Promise<EndListener[]> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      respond(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const listeners: EndListener[] = [];
  for (let run = 0; run < RUNS; run++) {
    const connection = (await BackendConnection.open({
      host: "127.0.0.1",
      port,
      timeout: 1000,
      now: 0,
      resetDetection: () => "shown",
    })).unwrapOrElse((failure) => {
      throw new Error(failure);
    });
    const listener = new EndListener();
    connection.send(
      { method: "POST", target: "/", headers: [], body },
      listener,
    );
    await waitUntil(() => listener.end !== undefined);
    connection.close();
    listeners.push(listener);
  }
  server.close();
  return listeners;
}

function countWhole(listeners: EndListener[]): number {
  return listeners.filter(({ end }) => end === "whole").length;
}

for (const delay of [0, 1, 3, 10]) {
  // Guards against taking a reset for the end of a response without a length.
  t.test(`a reset ${delay} ms after the last bytes is no end`, async (t) => {
    const listeners = await endsOf(async (socket) => {
      socket.write(HEAD);
      await sleep(2);
      socket.write(BODY);
      if (delay > 0) await sleep(delay);
      socket.resetAndDestroy();
    });
    t.equal(countWhole(listeners), 0);
  });
}

t.test("a reset during an upload does not complete an early response", async (t) => {
  const listeners = await endsOf(async (socket) => {
    socket.write(HEAD);
    await sleep(2);
    socket.write(BODY);
    socket.resetAndDestroy();
  }, Buffer.alloc(UPLOAD_BYTES));
  t.equal(countWhole(listeners), 0);
});

// Guards against evidence that is lost once the address of the peer was read.
t.test("a reset shows after a diagnostic has read the address", async (t) => {
  const channel = "undici:client:connected";
  const addresses: unknown[] = [];
  const readAddress = (message: unknown) =>
    addresses.push((message as { socket: Socket }).socket.remoteAddress);
  subscribe(channel, readAddress);
  t.teardown(() => unsubscribe(channel, readAddress));
  const listeners = await endsOf(async (socket) => {
    socket.write(HEAD);
    await sleep(2);
    socket.write(BODY);
    socket.resetAndDestroy();
  });
  t.strictSame(addresses, Array(RUNS).fill("127.0.0.1"));
  t.equal(countWhole(listeners), 0);
});

t.test("a regular end completes a response without a length", async (t) => {
  const listeners = await endsOf(async (socket) => {
    socket.write(HEAD);
    await sleep(2);
    socket.end(BODY);
  });
  t.equal(countWhole(listeners), RUNS);
  t.ok(listeners.every(({ received }) => received === BODY));
});

t.test("a stream whose server resets it does not look complete", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = async (_response, received, socket) => {
      socket.write(
        rawResponseHead(received) + "Content-Type: text/event-stream\r\n\r\n",
      );
      await sleep(5);
      socket.write(streamEvent(1));
      socket.resetAndDestroy();
    };
  }
  const responses = await Promise.all(
    Array.from(
      { length: 10 },
      () => fixture.call("/stream/", { method: "POST", body: "{}" }),
    ),
  );
  await fixture.stop();
  t.equal(responses.filter(({ complete }) => complete).length, 0);
});
