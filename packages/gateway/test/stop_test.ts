import { connect } from "node:net";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, storedConfiguration, waitUntil } from "./fixture.ts";
import {
  startEventStream,
  streamEvent,
  writeSealedHead,
} from "./fake_backend_server.ts";

t.test("a stop cuts no stream, and takes nothing on its connection after", async (t) => {
  // A connection whose answer began before the stop was not told to close. Kept,
  // it took a request 7 s after SIGTERM, which the end of the process then cut.
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
    "still answered, and told to close",
  );
  await ended;
  t.match(text, "piece 2");
  t.match(text, /0\r\n\r\n$/, "the stream is whole");
  await stopped;
  for (const server of fixture.servers) server.stop();
});

t.test("a stop takes no request on a connection whose stream has ended", async (t) => {
  // A stream began before the stop, so its answer could not tell its caller to
  // close the connection. The caller sends its next request on it as the stream
  // ends. Taken then, that request has too little time left, and the end of the
  // process cuts it; passed on over a connection that is half closed, it runs and
  // its answer has nowhere to go.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      startEventStream(response, received).write(streamEvent(1));
      // The other stream keeps the process from ending meanwhile.
      const time = received.target === "/stream/first" ? 300 : 900;
      setTimeout(() => response.end(streamEvent(2)), time);
    };
  }
  const post = (target: string) =>
    `POST ${target} HTTP/1.1\r\nHost: a.example\r\nX-Request: r\r\n` +
    "X-Credential: key\r\nContent-Length: 0\r\n\r\n";
  const other = fixture.call("/stream/other", { method: "POST" });
  const socket = connect(fixture.ports.front, "127.0.0.1");
  socket.on("error", () => {});
  const closed = new Promise((resolve) => socket.once("close", resolve));
  let text = "";
  let sentAgain = false;
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString();
    if (sentAgain || !text.endsWith("0\r\n\r\n")) return;
    sentAgain = true;
    socket.write(post("/stream/again"));
  });
  socket.write(post("/stream/first"));
  await waitUntil(() => text.includes("piece 1"));
  const stopped = fixture.gateway.stop();
  await closed;
  t.ok(sentAgain);
  await stopped;
  t.ok((await other).complete);
  const targets = fixture.servers.flatMap(({ receivedRequests: received }) =>
    received
  )
    .map(({ target }) => target);
  t.same(targets.sort(), ["/stream/first", "/stream/other"]);
  for (const server of fixture.servers) server.stop();
});

t.test("entries that all stop go on listening, and take what ends in time", async (t) => {
  // All entries are restarted one after the other. Each closed its listener and
  // lived on for its longest stream, so that for seconds callers found nobody to
  // connect to: 1,168 tries of one day. Now a short call is served, and what may
  // not end before the process does is told truly that it has not run.
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
    fixture.servers.some(({ receivedRequests: received }) => received.length)
  );
  const stopped = fixture.gateway.stop();
  await new Promise((resolve) => setTimeout(resolve, 1050));
  const soon = { "x-time-left": "150" };
  t.equal((await fixture.call("/once/", { headers: soon })).status, 200);
  const refused = await fixture.call("/stream/short", { method: "POST" });
  t.equal(refused.status, 503);
  t.match(refused.body, "stopping");
  t.ok(Number(refused.headers["retry-after"]) > 0.3, "after the restart");
  t.equal(refused.headers.connection, "close");
  t.ok((await long).complete);
  await stopped;
  const targets = fixture.servers.flatMap(({ receivedRequests: received }) =>
    received
  )
    .map(({ target }) => target);
  t.same(targets.sort(), ["/once/", "/stream/long"]);
  for (const server of fixture.servers) server.stop();
});

t.test("an entry that stops while another takes callers ends with its streams", async (t) => {
  // Nobody needs it any more. Listening on to the end of its grace period, it was
  // back seconds later than it could be.
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
    servers.some(({ receivedRequests: received }) => received.length)
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
