import type { HandOverMessage } from "@sycamorepulley/protocol";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import {
  BackendClient,
  ResponseReceiver,
} from "../src/sidecar/backend_client.ts";
import type { RunOutcome } from "../src/sidecar/backend_client.ts";

const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const BODY = "part of a body";
const RUNS = 20;

class TextReceiver extends ResponseReceiver {
  text = "";

  override receiveHead(): void {}

  override receiveChunk(bytes: Uint8Array): Promise<void> {
    this.text += new TextDecoder().decode(bytes);
    return Promise.resolve();
  }
}

const REQUEST = {
  method: "POST",
  path: "/",
  headers: {},
  body: new Uint8Array(10),
} as HandOverMessage;

/** Runs requests one after another at a server that responds alike. */
async function run(
  respond: (socket: Socket) => void,
  request: HandOverMessage = REQUEST,
): Promise<{ outcome: RunOutcome; text: string }[]> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new BackendClient({
    url: `http://127.0.0.1:${port}`,
    kind: "plain",
    maxResponseBytes: 10_000,
    resetDetection: () => "shown",
  });
  const results = [];
  for (let count = 0; count < RUNS; count++) {
    const receiver = new TextReceiver();
    const { signal } = new AbortController();
    const outcome = await client.run(request, receiver, signal);
    results.push({ outcome, text: receiver.text });
  }
  await client.close();
  server.close();
  return results;
}

function countComplete(results: { outcome: RunOutcome }[]): number {
  return results.filter(({ outcome }) => outcome.kind === "complete").length;
}

for (const delay of [0, 1, 20]) {
  // Guards against a cut response that its entry passes on as complete.
  t.test(`a reset ${delay} ms after the last bytes is no end`, async (t) => {
    const results = await run(async (socket) => {
      socket.write(HEAD);
      await sleep(2);
      socket.write(BODY);
      if (delay > 0) await sleep(delay);
      socket.resetAndDestroy();
    });
    t.equal(countComplete(results), 0);
    t.match(results[0]!.outcome, { ran: "unknown", connectionLost: true });
  });
}

// Guards against evidence that is lost once the address of the peer was read.
t.test("a reset shows after a diagnostic has read the address", async (t) => {
  const channel = "undici:client:connected";
  const addresses: unknown[] = [];
  const readAddress = (message: unknown) =>
    addresses.push((message as { socket: Socket }).socket.remoteAddress);
  subscribe(channel, readAddress);
  t.teardown(() => unsubscribe(channel, readAddress));
  const results = await run(async (socket) => {
    socket.write(HEAD);
    await sleep(2);
    socket.write(BODY);
    socket.resetAndDestroy();
  });
  t.strictSame(addresses, Array(RUNS).fill("127.0.0.1"));
  t.equal(countComplete(results), 0);
});

t.test("a regular end completes a response without a length", async (t) => {
  const results = await run((socket) => socket.end(HEAD + BODY));
  t.equal(countComplete(results), RUNS);
  t.ok(results.every(({ text }) => text === BODY));
});

t.test("a reset after a response with a length doesn't break it", async (t) => {
  const results = await run((socket) => {
    const length = `Content-Length: ${BODY.length}`;
    socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${length}\r\n\r\n`);
    socket.write(BODY);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  t.equal(countComplete(results), RUNS);
});

t.test("a request to a port without a listener certainly did not run", async (t) => {
  const client = new BackendClient({
    url: "http://127.0.0.1:1",
    kind: "plain",
    maxResponseBytes: 10_000,
    resetDetection: () => "shown",
  });
  const { signal } = new AbortController();
  const outcome = await client.run(REQUEST, new TextReceiver(), signal);
  t.match(outcome, { kind: "failed", ran: "no", reason: "connect_failed" });
  await client.close();
});

for (const ending of ["end", "reset"] as const) {
  // Guards against an empty response that looks whole.
  t.test(`a head that stops by ${ending} is no response`, async (t) => {
    for (let length = 0; length < HEAD.length; length += 3) {
      const results = await run((socket) => {
        socket.write(HEAD.slice(0, length));
        if (ending === "end") socket.end();
        else socket.resetAndDestroy();
      });
      t.equal(countComplete(results), 0);
    }
  });
}

/** Milliseconds of a response, enough for a witness connection to count. */
const LONG_RESPONSE = 200;

/** Lets servers end a long response; returns how many count as complete. */
async function completeOf(
  end: (response: Socket, all: ReadonlySet<Socket>) => void,
): Promise<number> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("close", () => sockets.delete(socket));
    socket.once("data", () => {
      socket.write(HEAD + BODY);
      setTimeout(() => end(socket, sockets), LONG_RESPONSE);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  let complete = 0;
  for (let count = 0; count < 5; count++) {
    const client = new BackendClient({
      url: `http://127.0.0.1:${port}`,
      kind: "plain",
      maxResponseBytes: 10_000,
      resetDetection: () => "shown",
    });
    const { signal } = new AbortController();
    const outcome = await client.run(REQUEST, new TextReceiver(), signal);
    if (outcome.kind === "complete") complete++;
    await client.close();
  }
  server.close();
  return complete;
}

// Guards against a response that was cut as its server was killed and restarted.
t.test("a response that ends with all connections is no whole one", async (t) => {
  const complete = await completeOf((_response, all) => {
    for (const socket of all) socket.end();
  });
  t.equal(complete, 0);
});

t.test("a response that another connection outlives is whole", async (t) => {
  t.equal(await completeOf((response) => response.end()), 5);
});
