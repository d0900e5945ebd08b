import { connect } from "node:net";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, storedConfiguration, waitUntil } from "./fixture.ts";
import {
  startEventStream,
  streamEvent,
  writeSealedHead,
} from "./fake_backend_server.ts";

t.test("a stop lets a stream end, then closes its connection", async (t) => {
  // Guards against a late request on it, cut off by the end of the process.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      startEventStream(response, received).write(streamEvent(1));
      setTimeout(() => response.end(streamEvent(2)), 500);
    };
  }
  const socket = connect(fixture.ports.front, "127.0.0.1");
  let text = "";
  socket.on("data", (chunk: Buffer) => text += chunk.toString());
  const ended = new Promise((resolve) => socket.once("end", resolve));
  socket.write(
    "POST /stream/ HTTP/1.1\r\nHost: a.example\r\nX-Request: r\r\n" +
      "X-Credential: key\r\nContent-Length: 0\r\n\r\n",
  );
  await waitUntil(() => text.includes("piece 1"));
  const stopped = fixture.gateway.stop();
  t.equal(await fixture.readiness(), 503);
  const late = await fixture.call("/calls/");
  t.equal(
    late.headers.connection,
    "close",
    "served, with a header to close the connection",
  );
  await ended;
  t.match(text, "piece 2");
  t.match(text, /0\r\n\r\n$/, "the stream is complete");
  await stopped;
  for (const server of fixture.servers) server.stop();
});

t.test("a request on a connection whose stream ended during a stop gets a response", async (t) => {
  // Guards against closing the connection while that request is on its way.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      startEventStream(response, received).write(streamEvent(1));
      setTimeout(() => response.end(streamEvent(2)), 300);
    };
  }
  const post = (target: string) =>
    `POST ${target} HTTP/1.1\r\nHost: a.example\r\nX-Request: r\r\n` +
    "X-Credential: key\r\nContent-Length: 0\r\n\r\n";
  const socket = connect(fixture.ports.front, "127.0.0.1");
  const closed = new Promise((resolve) => socket.once("close", resolve));
  let text = "";
  let sentAgain = false;
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString();
    if (sentAgain || !text.endsWith("0\r\n\r\n")) return;
    sentAgain = true;
    // It arrives some turns of the event loop after the end of the stream.
    setTimeout(() => socket.write(post("/stream/again")), 50);
  });
  socket.write(post("/stream/first"));
  await waitUntil(() => text.includes("piece 1"));
  const stopped = fixture.gateway.stop();
  await closed;
  const [first, again] = text.split("HTTP/1.1 ").slice(1);
  t.match(first, /^200 [^]*piece 2[^]*0\r\n\r\n$/, "the first is complete");
  t.notMatch(first, /connection: close/i, "it began before the stop");
  t.match(again, /^200 [^]*piece 2[^]*0\r\n\r\n$/, "the second is complete");
  t.match(again, /connection: close/i);
  await stopped;
  const targets = fixture.servers.flatMap(({ receivedRequests }) =>
    receivedRequests
  ).map(({ target }) => target);
  t.same(targets.sort(), ["/stream/again", "/stream/first"]);
  for (const server of fixture.servers) server.stop();
});

t.test("a response that has not begun at a stop closes its connection", async (t) => {
  // Guards against a connection that its caller uses until the process ends.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      setTimeout(() => writeSealedHead(response, received).end("ok"), 300);
    };
  }
  const waiting = fixture.call("/calls/");
  await waitUntil(() =>
    fixture.servers.some(({ receivedRequests }) => receivedRequests.length)
  );
  const stopped = fixture.gateway.stop();
  t.match(await waiting, { status: 200, headers: { connection: "close" } });
  await stopped;
  for (const server of fixture.servers) server.stop();
});

t.test("a stopping entry keeps listening, and accepts what ends in time", async (t) => {
  // Guards against restarts during which no entry listens for seconds.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      if (received.target !== "/stream/long") {
        writeSealedHead(response, received).end("ok");
        return;
      }
      startEventStream(response, received).write(streamEvent(1));
      setTimeout(() => response.end(streamEvent(2)), 1400);
    };
  }
  const long = fixture.call("/stream/long", { method: "POST" });
  await waitUntil(() =>
    fixture.servers.some(({ receivedRequests }) => receivedRequests.length)
  );
  const stopped = fixture.gateway.stop();
  await new Promise((resolve) => setTimeout(resolve, 1050));
  const shortDeadline = { "x-time-left": "150" };
  t.equal(
    (await fixture.call("/once/", { headers: shortDeadline })).status,
    200,
  );
  const refused = await fixture.call("/stream/short", { method: "POST" });
  t.equal(refused.status, 503);
  t.match(refused.body, "stopping");
  t.ok(Number(refused.headers["retry-after"]) > 0.3, "after the restart");
  t.equal(refused.headers.connection, "close");
  t.ok((await long).complete);
  await stopped;
  const targets = fixture.servers.flatMap(({ receivedRequests }) =>
    receivedRequests
  ).map(({ target }) => target);
  t.same(targets.sort(), ["/once/", "/stream/long"]);
  for (const server of fixture.servers) server.stop();
});

t.test("a stopping entry ends with its streams if another accepts callers", async (t) => {
  // Guards against restarts that are delayed by the whole grace period.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  const { servers } = first;
  const second = await Fixture.start({ store, instance: "entry-2", servers });
  for (const server of servers) {
    server.respond = (response, received) => {
      startEventStream(response, received).write(streamEvent(1));
      setTimeout(() => response.end(streamEvent(2)), 700);
    };
  }
  await new Promise((resolve) => setTimeout(resolve, 1000));
  const long = first.call("/stream/long", { method: "POST" });
  await waitUntil(() =>
    servers.some(({ receivedRequests }) => receivedRequests.length)
  );
  let stopped = false;
  void first.gateway.stop().then(() => stopped = true);
  await new Promise((resolve) => setTimeout(resolve, 500));
  t.notOk(stopped);
  t.ok((await long).complete);
  await new Promise((resolve) => setTimeout(resolve, 600));
  t.ok(stopped, "before its grace period of 1.6 s is over");
  await t.rejects(first.call("/calls/"), { code: "ECONNREFUSED" });
  await second.stop();
});

/** A request without a body, as sent. */
function get(target: string): string {
  return `GET ${target} HTTP/1.1\r\nHost: a.example\r\nX-Request: r\r\n` +
    "X-Credential: key\r\n\r\n";
}

/** Sends `text` on a new connection; resolves to all that is received. */
function exchange(port: number, text: string): Promise<string> {
  const socket = connect(port, "127.0.0.1");
  socket.write(text);
  let received = "";
  socket.on("data", (chunk: Buffer) => received += chunk.toString());
  return new Promise((resolve) =>
    socket.once("close", () => resolve(received))
  );
}

t.test("of pipelined requests in a stop, the last closes the connection", async (t) => {
  // Guards against a run whose response can't be sent any more.
  const fixture = await Fixture.startReady();
  const stopped = fixture.gateway.stop();
  const text = await exchange(
    fixture.ports.front,
    get("/calls/first") + get("/calls/second"),
  );
  const responses = text.split("HTTP/1.1 ").slice(1);
  const received = fixture.servers
    .flatMap(({ receivedRequests }) => receivedRequests);
  t.equal(received.length, 2);
  t.equal(responses.filter((one) => one.startsWith("200")).length, 2);
  t.notMatch(responses[0], /connection: close/i);
  t.match(responses[1], /connection: close/i);
  await stopped;
  for (const server of fixture.servers) server.stop();
});
