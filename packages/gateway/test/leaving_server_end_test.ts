import { setTimeout } from "node:timers/promises";
import t from "tap";
import {
  rawResponseHead,
  startEventStream,
  streamEvent,
} from "./fake_backend_server.ts";
import type {
  FakeBackendServer,
  ReceivedRequest,
  Respond,
} from "./fake_backend_server.ts";
import { Fixture } from "./fixture.ts";
import type { CallerResponse } from "./fixture.ts";

/** Milliseconds until a server that leaves exits. */
const EXIT_DELAY = 30;
/** States a maximum of two output tokens, one an event. */
const TWO_EVENTS = { "x-tokens": "10,2" };

/** Head of a response of a server that leaves, without a length. */
function leavingHead(received: ReceivedRequest, type: string): string {
  return rawResponseHead(received) +
    `X-Server-Leaving: 1\r\nContent-Type: ${type}\r\n\r\n`;
}

/** Sends `events` without a length, as a server that leaves, and exits. */
function streamAndExit(server: FakeBackendServer, events: string): Respond {
  return async (_response, received, socket) => {
    socket.write(leavingHead(received, "text/event-stream") + events);
    await setTimeout(EXIT_DELAY);
    await server.crash();
  };
}

/** Lets the first server leave; later ones respond with `next`. */
async function callLeaving(
  path: string,
  first: (server: FakeBackendServer) => Respond,
  options: { next?: Respond; headers?: Record<string, string> } = {},
): Promise<{ response: CallerResponse; fixture: Fixture; attempts: number }> {
  const { next, headers = {} } = options;
  const fixture = await Fixture.startReady();
  let attempts = 0;
  for (const server of fixture.servers) {
    server.respond = (response, received, socket) => {
      const respond = ++attempts === 1 ? first(server) : next;
      respond?.(response, received, socket);
    };
  }
  const response = await fixture.call(path, { method: "POST", headers });
  await fixture.stop();
  return { response, fixture, attempts };
}

t.test("a stream that a leaving server cut by its exit is resumed", async (t) => {
  // Guards against taking the exit for the end of the stream.
  const { response, attempts } = await callLeaving(
    "/resumed/",
    (server) => streamAndExit(server, streamEvent(1)),
    {
      next: (response, received) =>
        startEventStream(response, received).end(streamEvent(2)),
    },
  );
  t.equal(response.body, streamEvent(1) + streamEvent(2));
  t.ok(response.complete);
  t.equal(attempts, 2);
});

t.test("a stream that a leaving server cut by its exit does not look complete", async (t) => {
  const { response, attempts } = await callLeaving(
    "/stream/",
    (server) => streamAndExit(server, streamEvent(1)),
    { headers: TWO_EVENTS },
  );
  t.equal(response.body, streamEvent(1));
  t.notOk(response.complete);
  t.equal(attempts, 1);
});

t.test("a plain response that a leaving server cut by its exit is not passed on", async (t) => {
  const { response, attempts } = await callLeaving(
    "/once/",
    (server) => async (_response, received, socket) => {
      socket.write(leavingHead(received, "text/plain") + "part");
      await setTimeout(EXIT_DELAY);
      await server.crash();
    },
  );
  t.equal(response.status, 502);
  t.equal(attempts, 1);
});

t.test("a leaving server that exits after a stream is not taken for crashed", async (t) => {
  const { response, fixture } = await callLeaving(
    "/resumed/",
    (server) => streamAndExit(server, streamEvent(1) + streamEvent(2)),
    {
      next: (response, received) => startEventStream(response, received).end(),
    },
  );
  t.equal(response.body, streamEvent(1) + streamEvent(2));
  t.ok(response.complete);
  const outcomes = fixture.events
    .filter(({ message }) => message === "interrupted")
    .map(({ context }) => context["outcome"]);
  t.same(outcomes, ["broken"]);
});

t.test("a stream with all its tokens is whole, though its server exits", async (t) => {
  // Guards against cutting the last stream of a server that leaves.
  const { response, attempts } = await callLeaving(
    "/stream/",
    (server) => streamAndExit(server, streamEvent(1) + streamEvent(2)),
    { headers: TWO_EVENTS },
  );
  t.equal(response.body, streamEvent(1) + streamEvent(2));
  t.ok(response.complete);
  t.equal(attempts, 1);
});

t.test("a short stream of a leaving server that still accepts connections is whole", async (t) => {
  const { response, attempts } = await callLeaving(
    "/stream/",
    () => (_response, received, socket) =>
      socket.end(leavingHead(received, "text/event-stream") + streamEvent(1)),
    { headers: TWO_EVENTS },
  );
  t.equal(response.body, streamEvent(1));
  t.ok(response.complete);
  t.equal(attempts, 1);
});
