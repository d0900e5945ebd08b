import type { Socket } from "node:net";
import t from "tap";
import { rawResponseHead, streamEvent } from "./fake_backend_server.ts";
import { Fixture, waitUntil } from "./fixture.ts";

const STREAM_HEAD = "Content-Type: text/event-stream\r\n\r\n";

/** Ends one stream without a length; returns what was logged of its end. */
async function loggedEnd(
  finish: (socket: Socket) => void,
): Promise<Record<string, unknown> | undefined> {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (_response, received, socket) => {
      socket.write(rawResponseHead(received) + STREAM_HEAD + streamEvent(1));
      setTimeout(() => finish(socket), 20);
    };
  }
  await fixture.call("/stream/", { method: "POST", body: "{}" });
  const find = () =>
    fixture.events.find(({ message }) => message === "end_without_length");
  await waitUntil(() => find() !== undefined);
  await fixture.stop();
  return find()?.context;
}

t.test("the log shows on what evidence an end counts as whole", async (t) => {
  const end = await loggedEnd((socket) => socket.end(streamEvent(2)));
  t.match(end, {
    request: "request-1",
    judged: "whole",
    connection: "regular",
    peer: "known",
    write: "accepted",
    process: /^(alive|unknown)$/,
    hasAllTokens: false,
    events: 2,
  });
  t.type(end?.["silence"], "number");
});

t.test("the log shows a reset with the last bytes", async (t) => {
  const end = await loggedEnd((socket) => {
    socket.write(streamEvent(2));
    socket.resetAndDestroy();
  });
  t.match(end, {
    judged: "incomplete",
    detail: "cut",
    connection: "reset",
    process: "not_asked",
  });
});

t.test("the log shows a stream that ends inside an event", async (t) => {
  const end = await loggedEnd((socket) => socket.end("id: 2\ndata: pie"));
  t.match(end, {
    judged: "incomplete",
    detail: "stream ended in the middle of an event",
    connection: "regular",
  });
});
