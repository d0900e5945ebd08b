import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { HeadMemory, MemoryBudget } from "@sycamorepulley/decisions";
import { RequestMemory } from "@sycamorepulley/receiving";
import t from "tap";
import type { Test } from "tap";
import { HttpFrontend } from "../src/front/http_frontend.ts";
import type { FrontendOptions } from "../src/front/http_frontend.ts";
import { waitUntil } from "./fixture.ts";
import { frontendOptions } from "./frontend_options.ts";

const LIMITS = {
  headerBytes: 16_384,
  bodyBytes: 1000,
  headerTimeout: 60_000,
  idleTimeout: 60_000,
};
const MANY_HEADERS = Array.from({ length: 500 }, (_, index) => `x${index}: 1`)
  .join("\r\n");

/** Starts a front end; returns what it handles and connects to it. */
async function start(
  t: Test,
  changes: Partial<FrontendOptions> = {},
  limits = LIMITS,
): Promise<{ requests: string[]; open: () => Socket }> {
  const requests: string[] = [];
  const frontend = new HttpFrontend(frontendOptions({
    handle: async (request: IncomingMessage, response) => {
      let body = "";
      for await (const chunk of request) body += chunk;
      requests.push(`${request.url} ${body}`);
      response.end("served");
    },
    ...changes,
  }));
  frontend.applyLimits(limits);
  const port = await frontend.listen({ host: "127.0.0.1", port: 0 }, 1);
  t.teardown(() => frontend.closeAllConnections());
  const open = () => {
    const socket = connect({ port, host: "127.0.0.1", noDelay: true });
    socket.on("error", () => {});
    return socket;
  };
  return { requests, open };
}

async function firstResponse(socket: Socket): Promise<string> {
  const [bytes] = await once(socket, "data");
  return String(bytes);
}

t.test("a head that arrives byte by byte is read as one", async (t) => {
  const { requests, open } = await start(t);
  const socket = open();
  const request =
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";
  for (const byte of request) {
    socket.write(byte);
    await sleep(1);
  }
  t.match(await firstResponse(socket), "served");
  t.strictSame(requests, ["/a body"]);
  socket.write("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
  await waitUntil(() => requests.length === 2);
  t.strictSame(requests, ["/a body", "/b "]);
  socket.destroy();
});

t.test("requests that follow the first head are read", async (t) => {
  const { requests, open } = await start(t);
  const socket = open();
  const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
  socket.write("GET /a HT");
  await sleep(20);
  socket.write(`TP/1.1\r\nHost: a\r\n\r\n${get("/b")}${get("/c")}`);
  t.ok(await waitUntil(() => requests.length === 3));
  t.strictSame(requests, ["/a ", "/b ", "/c "]);
  socket.destroy();
});

// Guards against heads that are held without end.
for (const bytes of ["", "GET / HT"]) {
  t.test(`a head that stops after "${bytes}" times out`, async (t) => {
    const { open } = await start(t, {}, { ...LIMITS, headerTimeout: 300 });
    const socket = open();
    socket.write(bytes);
    t.match(await firstResponse(socket), /^HTTP\/1.1 408 /);
    await once(socket, "close");
  });
}

t.test("a head that its caller ends early is refused", async (t) => {
  const { open } = await start(t);
  const socket = open();
  socket.end("GET / HT");
  t.match(await firstResponse(socket), /^HTTP\/1.1 400 /);
});

// Guards against heads that are held beyond the memory for bodies.
t.test("a head is refused if the bytes held are too many", async (t) => {
  const requests = new RequestMemory({
    budget: new MemoryBudget(1000),
    clock: () => performance.now(),
  });
  let refused = 0;
  const { open } = await start(t, {
    heads: {
      ...frontendOptions().heads,
      openBytes: () => requests.openBody(),
      onRefused: () => refused++,
    },
  });
  const socket = open();
  socket.write(`GET / HTTP/1.1\r\n${MANY_HEADERS}`);
  const response = await firstResponse(socket);
  t.match(response, /^HTTP\/1.1 503 [^]*Retry-After: 0.50\r\n/);
  t.equal(refused, 1);
});

// Guards against parsed heads that fill the heap together.
t.test("a large head is refused while others take the heap", async (t) => {
  const memory = new HeadMemory(4 * 600 * 256);
  const { requests, open } = await start(t, {
    handle: (request, response) => {
      requests.push(String(request.url));
      request.resume();
      setTimeout(() => response.end("served"), 100);
    },
    heads: { ...frontendOptions().heads, memory },
  });
  const head = (path: string) =>
    `GET ${path} HTTP/1.1\r\nHost: a\r\n${MANY_HEADERS}\r\n\r\n`;
  const first = open();
  first.write(head("/a"));
  await waitUntil(() => requests.length === 1);
  const second = open();
  second.write(head("/b"));
  t.match(await firstResponse(second), /^HTTP\/1.1 503 /);
  const small = open();
  small.write("GET /c HTTP/1.1\r\nHost: a\r\n\r\n");
  t.match(await firstResponse(small), "served");
  if (first.readableLength === 0) await once(first, "readable");
  first.write(head("/d"));
  await waitUntil(() => requests.length === 3);
  t.strictSame(requests, ["/a", "/c", "/d"]);
  for (const socket of [first, second, small]) socket.destroy();
});

// Guards against bounds that count the first head of a connection only.
t.test("the next heads are held while there are many connections", async (t) => {
  const memory = new HeadMemory(0);
  const { requests, open } = await start(
    t,
    { heads: { ...frontendOptions().heads, memory } },
    { ...LIMITS, headerTimeout: 300 },
  );
  const socket = open();
  const request =
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";
  for (let sent = 1; sent <= 3; sent++) {
    socket.write(request.slice(0, 30));
    await sleep(20);
    socket.write(request.slice(30, -2));
    await sleep(20);
    socket.write(request.slice(-2));
    t.match(await firstResponse(socket), "served");
    t.equal(requests.length, sent);
  }
  await sleep(600);
  socket.write("GET / HT");
  t.match(await firstResponse(socket), /^HTTP\/1.1 408 /);
});

// Guards against the rest of a body that is read as the next head.
t.test("a body whose response came early is read to its end", async (t) => {
  const memory = new HeadMemory(0);
  const paths: string[] = [];
  let ended = 0;
  const { open } = await start(t, {
    handle: (request, response) => {
      paths.push(String(request.url));
      request.resume().once("end", () => ended++);
      response.end("served");
    },
    heads: { ...frontendOptions().heads, memory },
  });
  const socket = open();
  socket.write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo");
  t.match(await firstResponse(socket), "served");
  socket.write("dy");
  t.ok(await waitUntil(() => ended === 1));
  socket.write("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
  t.match(await firstResponse(socket), "served");
  t.strictSame(paths, ["/a", "/b"]);
  socket.destroy();
});
