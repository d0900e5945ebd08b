import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import {
  chunkedStreamHead,
  chunkOf,
  EndlessServer,
  streamHead,
} from "./endless_server.ts";
import { FakeBackendServer, streamEvent } from "./fake_backend_server.ts";
import type { Respond } from "./fake_backend_server.ts";
import { LaunchedGateway } from "./launched_gateway.ts";

/** Number of streams at a time. */
const STREAM_COUNT = 50;
/** Milliseconds for which the streams last. */
const STREAM_TIME = 5000;
/** Milliseconds that a slow caller waits after each piece. */
const READ_PAUSE = 200;
/**
 * Resident memory in bytes that a gateway may need for each stream: an event of
 * 1 MiB in a buffer of twice that, and what it has read and not yet written.
 */
const STREAM_MEMORY = 2.5 * 1024 * 1024;

/** Calls a gateway, and reads a piece of the response now and then. */
function callSlowly(port: number): Socket {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write(
    "POST /stream/ HTTP/1.1\r\nhost: a.example\r\nx-request: request-1\r\n" +
      `x-credential: key\r\nx-time-left: ${STREAM_TIME}\r\n` +
      "content-length: 2\r\n\r\n{}",
  );
  socket.on("data", () => {
    socket.pause();
    setTimeout(() => socket.resume(), READ_PAUSE);
  });
  return socket;
}

/** A gateway of its own, as its memory depends on all streams before. */
async function launch() {
  const server = new FakeBackendServer();
  await server.start();
  const gateway = await LaunchedGateway.start(server.port);
  const idleMemory = await gateway.idleMemory();
  return { server, gateway, idleMemory };
}

/** Growth in bytes of a gateway while slow callers read endless streams. */
async function memoryGrowth(
  { server, gateway, idleMemory }: Launched,
  respond: Respond,
): Promise<number> {
  server.respond = respond;
  const callers = Array.from(
    { length: STREAM_COUNT },
    () => callSlowly(gateway.ports.front),
  );
  let largest = idleMemory;
  for (let time = 0; time < STREAM_TIME; time += 100) {
    await sleep(100);
    largest = Math.max(largest, gateway.residentMemory());
  }
  for (const caller of callers) caller.destroy();
  await gateway.stop();
  server.stop();
  return largest - idleMemory;
}

type Launched = Awaited<ReturnType<typeof launch>>;
/** What a server sends: its head, and the piece that it repeats without end. */
type EndlessStream = {
  name: string;
  head: typeof streamHead;
  piece: string;
};

const STREAMS: EndlessStream[] = [
  {
    name: "endless streams to slow callers",
    head: streamHead,
    piece: streamEvent(1),
  },
  {
    name: "endless streams in small chunks",
    head: chunkedStreamHead,
    piece: chunkOf("\n\n"),
  },
  {
    name: "endless events of many streams",
    head: chunkedStreamHead,
    piece: chunkOf("data: without an end "),
  },
  {
    name: "events of the largest size of many streams",
    head: chunkedStreamHead,
    piece: chunkOf("data: without an end ".repeat(50)),
  },
];

// Their starts need most of the time of a busy machine.
const gateways = await Promise.all(STREAMS.map(launch));

for (const [index, { name, head, piece }] of STREAMS.entries()) {
  t.test(`${name} need a bounded memory`, async (t) => {
    const endless = new EndlessServer();
    const launched = gateways[index]!;
    const respond = endless.respondWith(head, piece);
    const growth = await memoryGrowth(launched, respond);
    t.ok(growth < STREAM_COUNT * STREAM_MEMORY, `${growth} bytes`);
    t.ok(endless.bytesSent > 0);
  });
}
