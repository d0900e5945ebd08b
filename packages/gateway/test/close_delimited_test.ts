import { connect } from "node:net";
import t from "tap";
import {
  rawResponseHead,
  startEventStream,
  streamEvent,
} from "./fake_backend_server.ts";
import type { FakeBackendServer, Respond } from "./fake_backend_server.ts";
import { Fixture } from "./fixture.ts";
import type { CallerResponse } from "./fixture.ts";

const STREAM_HEAD = "Content-Type: text/event-stream\r\n\r\n";
/** Milliseconds until a response is cut off. */
const CUT_DELAY = 30;

/** Sends a request to servers that all respond in one way. */
async function callWith(
  path: string,
  respondOf: (server: FakeBackendServer, attempt: () => number) => Respond,
  headers: Record<string, string> = {},
  method = "POST",
): Promise<{ response: CallerResponse; attempts: number }> {
  const fixture = await Fixture.startReady();
  let attempts = 0;
  for (const server of fixture.servers) {
    server.respond = respondOf(server, () => ++attempts);
  }
  const response = await fixture.call(path, {
    method,
    ...(method === "POST" && { body: "{}" }),
    headers,
  });
  await fixture.stop();
  return { response, attempts };
}

t.test("a stream that ends with its connection is passed on whole", async (t) => {
  const { response } = await callWith(
    "/stream/",
    () => (_response, received, socket) =>
      socket.end(
        rawResponseHead(received) + STREAM_HEAD + streamEvent(1) +
          streamEvent(2),
      ),
  );
  t.equal(response.body, streamEvent(1) + streamEvent(2));
  t.ok(response.complete);
});

t.test("a stream that ends with its connection inside an event does not look complete", async (t) => {
  const { response } = await callWith(
    "/stream/",
    () => (_response, received, socket) => {
      socket.write(rawResponseHead(received) + STREAM_HEAD + streamEvent(1));
      setTimeout(() => socket.end("id: 2\ndata: pie"), CUT_DELAY);
    },
  );
  t.equal(response.body, streamEvent(1));
  t.notOk(response.complete);
});

t.test("a chunked stream that ends inside an event does not look complete", async (t) => {
  const { response } = await callWith(
    "/stream/",
    () => (response, received) =>
      startEventStream(response, received)
        .end(streamEvent(1) + "id: 2\ndata: pie"),
  );
  t.equal(response.body, streamEvent(1));
  t.notOk(response.complete);
});

t.test("a stream that ended inside an event is resumed", async (t) => {
  const { response, attempts } = await callWith(
    "/resumed/",
    (_server, attempt) => (_response, received, socket) => {
      const isFirst = attempt() === 1;
      socket.end(
        rawResponseHead(received) + STREAM_HEAD +
          (isFirst ? streamEvent(1) + "id: 2\nda" : streamEvent(2)),
      );
    },
  );
  t.equal(response.body, streamEvent(1) + streamEvent(2));
  t.ok(response.complete);
  t.equal(attempts, 2);
});

t.test("a chunked stream is completed by a server that closes its connection", async (t) => {
  // Guards against aborting a complete response because it changed its kind.
  const { response } = await callWith(
    "/resumed/",
    (_server, attempt) => (response, received, socket) => {
      if (attempt() === 1) {
        startEventStream(response, received).write(streamEvent(1));
        setTimeout(() => socket.destroy(), CUT_DELAY);
        return;
      }
      socket.end(rawResponseHead(received) + STREAM_HEAD + streamEvent(2));
    },
  );
  t.equal(response.body, streamEvent(1) + streamEvent(2));
  t.ok(response.complete);
});

t.test("a stream that its server ended by crashing is resumed", async (t) => {
  // Guards against taking the end of a crashed server's connection for an end.
  const { response, attempts } = await callWith(
    "/resumed/",
    (server, attempt) => (_response, received, socket) => {
      const isFirst = attempt() === 1;
      const head = rawResponseHead(received) + STREAM_HEAD;
      if (!isFirst) {
        socket.end(head + streamEvent(2));
        return;
      }
      socket.write(head + streamEvent(1));
      setTimeout(() => void server.crash(), CUT_DELAY);
    },
  );
  t.equal(response.body, streamEvent(1) + streamEvent(2));
  t.ok(response.complete);
  t.equal(attempts, 2);
});

t.test("a plain response that its server ended by crashing is not passed on", async (t) => {
  const { response, attempts } = await callWith(
    "/once/",
    (server, attempt) => (_response, received, socket) => {
      attempt();
      socket.write(rawResponseHead(received) + "\r\npart");
      setTimeout(() => void server.crash(), CUT_DELAY);
    },
  );
  t.equal(response.status, 502);
  t.equal(attempts, 1);
});

/** Sends a request of HTTP/1.0, whose caller knows no chunks. */
async function callOfEarlierVersion(
  respond: Respond,
): Promise<{ received: string; wasReset: boolean }> {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) server.respond = respond;
  const socket = connect(fixture.ports.front, "127.0.0.1");
  let received = "";
  let wasReset = false;
  socket.on("data", (bytes) => received += bytes.toString());
  socket.on("error", () => wasReset = true);
  socket.write(
    "POST /stream/ HTTP/1.0\r\nHost: a.example\r\nX-Request: request-1\r\n" +
      "X-Credential: key\r\nX-Time-Left: 1500\r\n\r\n",
  );
  await new Promise((resolve) => socket.once("close", resolve));
  await fixture.stop();
  return { received, wasReset };
}

t.test("a cut stream is reset to a caller that knows no chunks", async (t) => {
  // Guards against a regular end, which is the end of a whole stream there.
  const { received, wasReset } = await callOfEarlierVersion(
    (response, received, socket) => {
      startEventStream(response, received).write(streamEvent(1));
      setTimeout(() => socket.destroy(), CUT_DELAY);
    },
  );
  t.ok(received.endsWith(streamEvent(1)));
  t.ok(wasReset);
});

t.test("a whole stream ends regularly to a caller that knows no chunks", async (t) => {
  const { received, wasReset } = await callOfEarlierVersion(
    (response, received) =>
      startEventStream(response, received).end(streamEvent(1)),
  );
  t.ok(received.endsWith("\r\n\r\n" + streamEvent(1)));
  t.notOk(wasReset);
});

t.test("a stream with all its tokens is whole, though its server has crashed", async (t) => {
  // Guards against cutting a stream whose server ends right after it.
  const { response } = await callWith(
    "/stream/",
    (server) => (_response, received, socket) => {
      socket.write(
        rawResponseHead(received) + STREAM_HEAD + streamEvent(1) +
          streamEvent(2),
      );
      setTimeout(() => void server.crash(), CUT_DELAY);
    },
    { "x-tokens": "10,2" },
  );
  t.equal(response.body, streamEvent(1) + streamEvent(2));
  t.ok(response.complete);
});

t.test("a response to HEAD is whole with its head, though its server has crashed", async (t) => {
  const { response } = await callWith(
    "/once/",
    (server) => (_response, received, socket) => {
      socket.end(rawResponseHead(received) + "\r\n");
      void server.crash();
    },
    {},
    "HEAD",
  );
  t.equal(response.status, 200);
});

t.test("a response to HEAD without a length gets none", async (t) => {
  const { response } = await callWith(
    "/once/",
    () => (_response, received, socket) =>
      socket.end(rawResponseHead(received) + "\r\n"),
    {},
    "HEAD",
  );
  t.equal(response.status, 200);
  t.equal(response.headers["content-length"], undefined);
});
