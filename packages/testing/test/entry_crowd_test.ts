import t from "tap";
import type { Test } from "tap";
import {
  bodyShapes,
  ChunkedBody,
  EXAMPLE_TOKEN,
  exampleObjects,
  Fleet,
  isServed,
  playCrowd,
  WholeBody,
} from "../src/mod.ts";
import type { CrowdPlay } from "../src/mod.ts";

/** A small machine, and a few hundred connections. */
const MACHINE = { memoryMegabytes: 256, connections: 400 };
/** Descriptors beside the connections of callers. */
const OTHER_DESCRIPTORS = 50;
const BODY_LIMIT = 4 * 1024 * 1024;
const SIZES = {
  limit: BODY_LIMIT,
  inSmallChunks: 32 * 1024,
  tooLarge: 8 * BODY_LIMIT,
};
const CLIENT_COUNT = 100;
const IDLE_CLIENT_COUNT = 600;

const chat = JSON.stringify({
  model: "assistant",
  messages: [{ role: "user", content: "#crowd#" }],
  max_tokens: 4,
});
const body = (bytes: number) =>
  Buffer.alloc(bytes, " ").fill(chat, 0, chat.length);
const ordinary = new WholeBody(body(2000));
const head = () =>
  "POST /v1/chat/completions HTTP/1.1\r\nhost: a.example\r\n" +
  `authorization: Bearer ${EXAMPLE_TOKEN}\r\n`;

async function start(t: Test) {
  const objects = exampleObjects();
  for (const service of objects.services) {
    service.bounds = { ...service.bounds, bodyBytes: BODY_LIMIT };
  }
  const fleet = await Fleet.start({
    backends: [{
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { speed: 16 },
    }, {
      kind: "plain",
      service: "bookings",
      version: "bookings-1",
    }],
    objects,
    machine: MACHINE,
  });
  t.teardown(() => fleet.kill());
  const entry = fleet.entries[0]!;
  const { hostname, port } = new URL(entry.url);
  const target = { host: hostname, port: Number(port), head };
  return { process: entry.process, target };
}

/** Plays a crowd against an entry of its own, and checks the entry. */
async function play(
  t: Test,
  options: Pick<CrowdPlay, "act"> & Partial<CrowdPlay>,
  requestHead = head,
): Promise<void> {
  const { process, target } = await start(t);
  const { processId } = process;
  const crowdTarget = { ...target, head: requestHead };
  const played = { target: crowdTarget, processId, ordinary, ...options };
  const { memory, descriptors, response } = await playCrowd(played);
  t.notOk(process.hasExited, "the process lives");
  const megabytes = Math.round(memory / 1_000_000);
  t.ok(megabytes < MACHINE.memoryMegabytes, `${megabytes} MB`);
  t.ok(
    descriptors < MACHINE.connections + OTHER_DESCRIPTORS,
    `${descriptors} descriptors`,
  );
  t.ok(isServed(response), response);
}

// Guards against a process that ends, hangs or outgrows its machine.
for (const shape of bodyShapes(SIZES, body)) {
  t.test(`a crowd that sends ${shape.name}`, async (t) => {
    await play(t, { act: (crowd) => crowd.send(CLIENT_COUNT, shape) });
  });
}

// Guards against callers without a connection for as long as a crowd stays.
t.test("a crowd that sends the start of a head", async (t) => {
  const start = "POST /v1/chat/completions HTTP/1.1\r\nhost: a.exam";
  const act: CrowdPlay["act"] = (crowd) => crowd.open(IDLE_CLIENT_COUNT, start);
  await play(t, { act, servesBeside: true });
});

// Guards against a process that one request within the limits ends.
t.test("the largest body in chunks of one byte", async (t) => {
  const bookingHead = () =>
    "POST /services/bookings/bookings HTTP/1.1\r\nhost: a.example\r\n" +
    `authorization: Bearer ${EXAMPLE_TOKEN}\r\nidempotency-key: largest\r\n`;
  const largest = new ChunkedBody("", body(BODY_LIMIT), 1);
  const act = () => Promise.resolve();
  await play(t, { act, ordinary: largest }, bookingHead);
});
