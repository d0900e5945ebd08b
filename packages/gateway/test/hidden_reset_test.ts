import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { hideResets } from "../../receiving/test/hidden_resets.ts";
import { rawResponseHead, streamEvent } from "./fake_backend_server.ts";
import { Fixture } from "./fixture.ts";
import type { CallerResponse } from "./fixture.ts";

const STREAM_HEAD = "Content-Type: text/event-stream\r\n\r\n";
const CALLS = 10;

/** Responses without a length that end with `finish`, and what was logged. */
async function callAll(
  finish: (socket: Socket) => void,
): Promise<{ responses: CallerResponse[]; connections: unknown[] }> {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = async (_response, received, socket) => {
      socket.write(rawResponseHead(received) + STREAM_HEAD);
      await sleep(5);
      socket.write(streamEvent(1));
      finish(socket);
    };
  }
  const call = () => fixture.call("/stream/", { method: "POST", body: "{}" });
  const responses = await Promise.all(Array.from({ length: CALLS }, call));
  await fixture.stop();
  const connections = fixture.events
    .filter(({ message }) => message === "end_without_length")
    .map(({ context }) => context["connection"]);
  return { responses, connections };
}

// Guards against a reset that looks whole where the kernel hides it.
t.test("a reset does not look whole where the kernel hides it", async (t) => {
  t.teardown(hideResets());
  const { responses, connections } = await callAll((socket) =>
    socket.resetAndDestroy()
  );
  t.equal(responses.filter(({ complete }) => complete).length, 0);
  t.strictSame(connections, Array(CALLS).fill("unproven"));
});

t.test("a regular end proves nothing where the kernel hides resets", async (t) => {
  t.teardown(hideResets());
  const { responses, connections } = await callAll((socket) => socket.end());
  t.equal(responses.filter(({ complete }) => complete).length, 0);
  t.strictSame(connections, Array(CALLS).fill("unproven"));
});

t.test("a regular end is whole on this machine", async (t) => {
  const { responses, connections } = await callAll((socket) => socket.end());
  t.equal(responses.filter(({ complete }) => complete).length, CALLS);
  t.strictSame(connections, Array(CALLS).fill("regular"));
});
