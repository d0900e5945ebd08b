import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { FakeBackendServer, rawResponseHead } from "./fake_backend_server.ts";
import type { Respond } from "./fake_backend_server.ts";
import { LaunchedGateway } from "./launched_gateway.ts";

/** Number of calls at a time. */
const CALL_COUNT = 80;
/** Milliseconds for which they last. */
const CALL_TIME = 4000;
/** Memory setting of the gateway, in MB; its heap is bounded by 110 MB. */
const GATEWAY_MEMORY = 160;
/** Resident memory in bytes that a gateway may need for each call. */
const CALL_MEMORY = 0.5 * 1024 * 1024;
/** Lines of the smallest size, of 60,000 bytes together. */
const LINES = "a:\r\n".repeat(15_000);

function call(port: number): Socket {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.resume();
  socket.write(
    "POST /stream/ HTTP/1.1\r\nhost: a.example\r\nx-request: request-1\r\n" +
      `x-credential: key\r\nx-time-left: ${CALL_TIME}\r\n` +
      "content-length: 2\r\n\r\n{}",
  );
  return socket;
}

/** Growth in bytes of a gateway during many calls; undefined if it ended. */
async function memoryGrowth(respond: Respond): Promise<number | undefined> {
  const server = new FakeBackendServer();
  await server.start();
  server.respond = respond;
  const gateway = await LaunchedGateway.start(server.port, GATEWAY_MEMORY);
  const idleMemory = await gateway.idleMemory();
  const { front } = gateway.ports;
  const callers = Array.from({ length: CALL_COUNT }, () => call(front));
  let largest = idleMemory;
  for (let time = 0; time < CALL_TIME && !gateway.hasExited; time += 100) {
    await sleep(100);
    if (!gateway.hasExited) {
      largest = Math.max(largest, gateway.residentMemory());
    }
  }
  for (const caller of callers) caller.destroy();
  server.stop();
  if (gateway.hasExited) return undefined;
  await gateway.stop();
  return largest - idleMemory;
}

const PARTS: Record<string, Respond> = {
  "heads of many lines": (_response, received, socket) => {
    socket.write(rawResponseHead(received) + LINES);
  },
  "trailers of many lines": (_response, received, socket) => {
    const head = rawResponseHead(received) + "Transfer-Encoding: chunked\r\n";
    socket.write(`${head}\r\n1\r\nx\r\n0\r\n${LINES}`);
  },
};

for (const [name, respond] of Object.entries(PARTS)) {
  // Guards against a process that some dozens of faulty responses end.
  t.test(`${name} need a bounded memory`, async (t) => {
    const growth = await memoryGrowth(respond);
    t.ok(growth !== undefined, "the gateway runs");
    t.ok((growth ?? 0) < CALL_COUNT * CALL_MEMORY, `${growth} bytes`);
  });
}
