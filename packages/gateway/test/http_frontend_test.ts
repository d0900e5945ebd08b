import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import t from "tap";
import { HttpFrontend } from "../src/front/http_frontend.ts";
import { waitUntil } from "./fixture.ts";
import { frontendOptions } from "./frontend_options.ts";

/** More bytes than the kernel buffers of a connection. */
const LARGE_BODY = "x".repeat(20_000_000);

const MAX_CONNECTIONS = 3;
let replaced = 0;
const COUNTERS = {
  accepted: () => {},
  unread: () => {},
  replaced: () => replaced++,
};

t.test("a complete response that its caller has not read yet is not idle", async (t) => {
  // Guards against closing the connection before the response is handed over.
  let ended = () => {};
  const hasEnded = new Promise<void>((resolve) => ended = resolve);
  const frontend = new HttpFrontend(frontendOptions({
    handle: (_request, response) => {
      response.end(LARGE_BODY);
      ended();
    },
    counters: COUNTERS,
    maxConnections: MAX_CONNECTIONS,
  }));
  const port = await frontend.listen({ host: "127.0.0.1", port: 0 }, 1);
  const socket = connect(port, "127.0.0.1");
  let size = 0;
  socket.on("data", (chunk: Buffer) => size += chunk.length);
  socket.on("error", () => {});
  socket.pause();
  const idle = connect(port, "127.0.0.1");
  await once(idle, "connect");
  const idleClosed = once(idle, "close");
  socket.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
  await hasEnded;
  frontend.startDraining();
  frontend.stopListening();
  frontend.closeIdleConnections();
  idle.resume();
  await idleClosed;
  socket.resume();
  while (size < LARGE_BODY.length && !socket.closed) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  t.ok(size > LARGE_BODY.length, `${size} bytes`);
  t.equal(frontend.unsentConnections, 0);
  frontend.closeAllConnections();
});

// Guards against more connections than the process may have descriptors.
t.test("a new connection replaces one that sends no request", async (t) => {
  const responses: ServerResponse[] = [];
  const frontend = new HttpFrontend(frontendOptions({
    handle: (_request, response) => responses.push(response),
    counters: COUNTERS,
    maxConnections: MAX_CONNECTIONS,
  }));
  const port = await frontend.listen({ host: "127.0.0.1", port: 0 }, 1);
  const open = async () => {
    const socket = connect(port, "127.0.0.1");
    await once(socket, "connect");
    return socket;
  };
  const serving = await open();
  serving.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
  await waitUntil(() => responses.length === 1);
  const unused = [await open(), await open()];
  const closed = once(unused[0]!.resume(), "close");
  const newest = await open();
  await closed;
  t.equal(replaced, 1);
  newest.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
  t.ok(await waitUntil(() => responses.length === 2));
  responses[0]?.end("whole");
  const [response] = await once(serving, "data");
  t.match(String(response), "whole");
  frontend.closeAllConnections();
});

// Guards against heads that fill the memory before their limit is checked.
t.test("a head beyond the configured limit is refused before it ends", async (t) => {
  const frontend = new HttpFrontend(
    frontendOptions({ counters: COUNTERS, maxConnections: MAX_CONNECTIONS }),
  );
  frontend.applyLimits({
    headerBytes: 1000,
    bodyBytes: 1000,
    headerTimeout: 60_000,
    idleTimeout: 60_000,
  });
  const port = await frontend.listen({ host: "127.0.0.1", port: 0 }, 1);
  const socket = connect(port, "127.0.0.1");
  socket.write(`GET / HTTP/1.1\r\nHost: a.example\r\nX-Large: `);
  socket.write("x".repeat(2000));
  const [response] = await once(socket, "data");
  t.match(String(response), /^HTTP\/1.1 431 /);
  await once(socket, "close");
  frontend.closeAllConnections();
});

// Guards against connections that are kept as if their requests were served.
t.test("a connection whose response came before the body's end is idle", async (t) => {
  let bodyEnded = false;
  const frontend = new HttpFrontend(frontendOptions({
    handle: (request, response) => {
      request.resume().once("end", () => bodyEnded = true);
      response.end("refused");
    },
    counters: COUNTERS,
    maxConnections: 1,
  }));
  const port = await frontend.listen({ host: "127.0.0.1", port: 0 }, 1);
  const refused = connect(port, "127.0.0.1");
  refused.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n");
  await once(refused, "data");
  refused.write("body");
  t.ok(await waitUntil(() => bodyEnded));
  const closed = once(refused, "close");
  const next = connect(port, "127.0.0.1");
  await once(next, "connect");
  await closed;
  t.notOk(next.destroyed);
  frontend.closeAllConnections();
});
