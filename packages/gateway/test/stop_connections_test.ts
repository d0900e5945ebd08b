import { connect } from "node:net";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, storedConfiguration, waitUntil } from "./fixture.ts";
import {
  startEventStream,
  streamEvent,
  writeSealedHead,
} from "./fake_backend_server.ts";

function post(target: string): string {
  return `POST ${target} HTTP/1.1\r\nHost: a.example\r\nX-Request: r\r\n` +
    "X-Credential: key\r\nContent-Length: 0\r\n\r\n";
}

t.test("a pipelined request behind a waiting response is answered in a stop", async (t) => {
  // Guards against a request that was read and never gets a response.
  const fixture = await Fixture.startReady();
  const received = () =>
    fixture.servers.flatMap(({ receivedRequests }) => receivedRequests);
  for (const server of fixture.servers) {
    server.respond = (response, { target }) => {
      const time = target === "/calls/first" ? 600 : 10;
      const request = received().find((one) => one.target === target)!;
      setTimeout(() => writeSealedHead(response, request).end("ok"), time);
    };
  }
  const socket = connect(fixture.ports.front, "127.0.0.1");
  const closed = new Promise((resolve) => socket.once("close", resolve));
  let text = "";
  socket.on("error", () => {});
  socket.on("data", (chunk: Buffer) => text += chunk.toString());
  socket.write(post("/calls/first"));
  await waitUntil(() => received().length > 0);
  const stopped = fixture.gateway.stop();
  socket.write(post("/calls/second"));
  await closed;
  t.equal(text.match(/HTTP\/1.1 (200|503)/g)?.length, 2, text);
  await stopped;
  for (const server of fixture.servers) server.stop();
});

t.test("a kept connection gets one more response beside an entry that accepts", async (t) => {
  // Guards against closing it right after the stream that it was kept for.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  const { servers } = first;
  const second = await Fixture.start({ store, instance: "entry-2", servers });
  for (const server of servers) {
    server.respond = (response, received) => {
      startEventStream(response, received).write(streamEvent(1));
      setTimeout(() => response.end(streamEvent(2)), 1000);
    };
  }
  await new Promise((resolve) => setTimeout(resolve, 1000));
  const socket = connect(first.ports.front, "127.0.0.1");
  const closed = new Promise((resolve) => socket.once("close", resolve));
  let text = "";
  let sentAgain = false;
  socket.on("error", () => {});
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString();
    if (sentAgain || !text.endsWith("0\r\n\r\n")) return;
    sentAgain = true;
    setTimeout(() => socket.write(post("/stream/again")), 50);
  });
  socket.write(post("/stream/first"));
  await waitUntil(() => text.includes("piece 1"));
  const stopped = first.gateway.stop();
  await closed;
  t.equal(text.match(/HTTP\/1.1 \d+/g)?.length, 2, text);
  await stopped;
  await second.stop();
});
