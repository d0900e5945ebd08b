import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { rawResponseHead, streamEvent } from "./fake_backend_server.ts";
import {
  Fixture,
  startServers,
  storedConfiguration,
  storedServer,
} from "./fixture.ts";
import type { CallerResponse } from "./fixture.ts";

const STREAM_HEAD = "Content-Type: text/event-stream\r\n\r\n";
const CALLS = 10;

/** Forwards connections to a port, and turns each reset into a regular end. */
async function startRelay(target: number): Promise<number> {
  const relay = createServer((socket) => {
    const server = connect(target, "127.0.0.1");
    server.on("error", () => socket.end());
    socket.on("error", () => server.destroy());
    server.pipe(socket);
    socket.pipe(server);
  });
  relay.unref();
  await new Promise<void>((resolve) => relay.listen(0, "127.0.0.1", resolve));
  return (relay.address() as AddressInfo).port;
}

/** Streams that are reset behind relays. */
async function callThroughRelays(
  relayedServers: boolean,
): Promise<{ responses: CallerResponse[]; ends: Record<string, unknown>[] }> {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const servers = await startServers(store);
  for (const [index, server] of servers.entries()) {
    const id = `s${index}`;
    const port = await startRelay(server.port);
    store.put(`servers/${id}`, storedServer(id, port));
    server.respond = (_response, received, socket) => {
      socket.write(rawResponseHead(received) + STREAM_HEAD + streamEvent(1));
      setTimeout(() => socket.resetAndDestroy(), 10);
    };
  }
  const fixture = await Fixture.start({ store, servers, relayedServers });
  await fixture.waitUntilReady();
  const call = () => fixture.call("/stream/", { method: "POST", body: "{}" });
  const responses = await Promise.all(Array.from({ length: CALLS }, call));
  await fixture.stop();
  const ends = fixture.events
    .filter(({ message }) => message === "end_without_length")
    .map(({ context }) => context);
  return { responses, ends };
}

// Guards against a relay that turns a reset into an end.
t.test("no end shows that a response of a relayed server is whole", async (t) => {
  const { responses, ends } = await callThroughRelays(true);
  t.equal(responses.filter(({ complete }) => complete).length, 0);
  t.equal(ends.length, CALLS);
  for (const end of ends) t.match(end, { connection: "unproven" });
});

t.test("the log shows the ends that a relay that is not stated may have made", async (t) => {
  const { ends } = await callThroughRelays(false);
  t.equal(ends.length, CALLS);
  for (const end of ends) {
    t.match(end, { judged: "whole", peer: "known", write: "accepted" });
  }
});
