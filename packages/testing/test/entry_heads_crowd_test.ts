import t from "tap";
import {
  EXAMPLE_TOKEN,
  exampleObjects,
  Fleet,
  isServed,
  playCrowd,
  WholeBody,
} from "../src/mod.ts";

/** An ordinary machine of a deployment. */
const MACHINE = { memoryMegabytes: 350, connections: 3000 };
/** Descriptors beside the connections of callers. */
const OTHER_DESCRIPTORS = 50;
/** Fewer than the connections of the machine. */
const CLIENT_COUNT = 2600;
/** Headers of a head that stays below the limit of 16 KiB. */
const SMALL_HEADERS = 1000;

const chat = JSON.stringify({
  model: "assistant",
  messages: [{ role: "user", content: "#crowd#" }],
  max_tokens: 4,
});
const ordinary = new WholeBody(
  Buffer.alloc(2000, " ").fill(chat, 0, chat.length),
);
const head = () =>
  "POST /v1/chat/completions HTTP/1.1\r\nhost: a.example\r\n" +
  `authorization: Bearer ${EXAMPLE_TOKEN}\r\n`;

/** The start of a head of many small headers, within the limits. */
function manyHeaders(): string {
  const headers = Array.from(
    { length: SMALL_HEADERS },
    (_, index) => `x${index.toString(36)}: ${index}\r\n`,
  );
  return head() + "content-length: 1\r\n" + headers.join("");
}

// Guards against a heap that heads within the limits exhaust.
t.test("a crowd that sends heads of many small headers slowly", async (t) => {
  const fleet = await Fleet.start({
    backends: [{
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { speed: 16 },
    }],
    objects: exampleObjects(),
    machine: MACHINE,
  });
  t.teardown(() => fleet.kill());
  const { process, url } = fleet.entries[0]!;
  const { hostname, port } = new URL(url);
  const { memory, descriptors, response } = await playCrowd({
    target: { host: hostname, port: Number(port), head },
    processId: process.processId,
    ordinary,
    act: async (crowd) => {
      await crowd.open(CLIENT_COUNT, manyHeaders());
      crowd.sendOnAll("\r\nx");
    },
  });
  t.notOk(process.hasExited, "the process lives");
  const megabytes = Math.round(memory / 1_000_000);
  t.ok(megabytes < MACHINE.memoryMegabytes, `${megabytes} MB`);
  t.ok(
    descriptors < MACHINE.connections + OTHER_DESCRIPTORS,
    `${descriptors} descriptors`,
  );
  t.ok(isServed(response), response);
});
