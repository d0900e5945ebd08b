import { EventEmitter, once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { MemoryBudget } from "@sycamorepulley/decisions";
import t from "tap";
import type { Test } from "tap";
import { Result } from "true-myth/result";
import { closeBeforeRest, readBody, RequestMemory } from "../src/mod.ts";

const MAX_BYTES = 100_000;
/** Bytes that may be reserved for bodies. */
const MEMORY = 50_000;
const HEAD = "POST / HTTP/1.1\r\nhost: a.example\r\n";

/** Status of the response to each request, and whether the connection ends. */
async function startServer(t: Test) {
  const budget = new MemoryBudget(MEMORY);
  const memory = new RequestMemory({ budget, clock: () => performance.now() });
  const server = createServer(async (request, response) => {
    const held = memory.openBody();
    const body = await readBody(request, { maxBytes: MAX_BYTES, held });
    if (body.isErr) closeBeforeRest(request, response);
    response.end(body.isOk ? String(body.value?.length ?? 0) : body.error);
    held.release();
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return (server.address() as AddressInfo).port;
}

/** Sends bytes on a connection; resolves to what came, and whether it ended. */
async function send(t: Test, bytes: string, expected: string) {
  const socket = connect(await startServer(t), "127.0.0.1");
  t.teardown(() => socket.destroy());
  socket.on("error", () => {});
  let received = "";
  const closed = new Promise((resolve) => socket.once("close", resolve));
  const arrived = new Promise<void>((resolve) =>
    socket.on("data", (chunk) => {
      received += chunk;
      if (received.includes(expected)) resolve();
    })
  );
  socket.write(bytes);
  await Promise.race([arrived, closed]);
  return { socket, received, closed };
}

t.test("a body whose stated length is too large is refused unread", async (t) => {
  const head = `${HEAD}content-length: ${MAX_BYTES + 1}\r\n\r\n`;
  const { received, closed } = await send(t, head, "too_large");
  t.match(received, /connection: close[^]*too_large/i);
  await closed;
});

// Guards against reading a body without end.
t.test("a chunked body that grows too large closes its connection", async (t) => {
  const chunk = `${(MEMORY / 2).toString(16)}\r\n${"x".repeat(MEMORY / 2)}\r\n`;
  const head = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
  const { received, closed } = await send(t, head + chunk.repeat(3), "memory");
  t.match(received, /connection: close[^]*memory/i);
  await closed;
});

t.test("a refused body that is short keeps its connection", async (t) => {
  const length = MEMORY + 1;
  const head = `${HEAD}content-length: ${length}\r\n\r\n`;
  const { socket, received } = await send(t, head, "memory");
  t.notMatch(received, /connection: close/i);
  let next = "";
  socket.on("data", (chunk) => next += chunk);
  socket.write("x".repeat(length) + HEAD + "content-length: 3\r\n\r\nabc");
  while (!next.endsWith("3")) await once(socket, "data");
  t.match(next, /^HTTP\/1\.1 200/);
});

// Guards against a client that waits for a response to a body that is dropped.
t.test("a body that loses its memory is refused", async (t) => {
  const budget = new MemoryBudget(MEMORY);
  let now = 0;
  const memory = new RequestMemory({ budget, clock: () => now });
  const request = Object.assign(new EventEmitter(), { headers: {} });
  const held = memory.openBody();
  const body = readBody(request as IncomingMessage, {
    maxBytes: MAX_BYTES,
    held,
  });
  request.emit("data", Buffer.alloc(MEMORY - 1));
  now = 10_000;
  t.ok(memory.openBody().reserveStated(MEMORY));
  t.same(await body, Result.err("memory"));
  t.equal(budget.use.held, MEMORY);
});
