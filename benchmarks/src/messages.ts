/**
 * Measures the protocol between the processes: bytes on the wire, and the time
 * to encode, decode and check each message of a request and of an idle link.
 * Each frame has one message, which is the most expensive case. Run with
 * `npm run bench:messages`.
 * @module
 */
import { performance } from "node:perf_hooks";
import { encodeFrame, FrameDecoder } from "@sycamorepulley/protocol";
import type { Message } from "@sycamorepulley/protocol";

const ROUNDS = 20_000;
const WARM_UP_ROUNDS = 2_000;
/** TCP and IP headers of a message that is sent in its own segment. */
const TCP_IP_HEADER_BYTES = 52;

const MESSAGES: Record<string, Message> = {
  reserve: {
    type: "reserve",
    reservation: 123_456,
    service: "assistant",
    tierRank: 1,
    organisation: "households",
    route: "chat/completions",
    cost: { promptTokens: 800, outputTokens: 350 },
    remaining: 29_998.5,
    prefixKey: "q83vEjRWeJCrze8S",
    fingerprint: "q83vEjRWeJCrze8SNFZ4kA",
  },
  grant: { type: "grant", reservation: 123_456, grant: 98_765, lapse: 250 },
  withdraw: { type: "withdraw", reservation: 123_456 },
  refuse: {
    type: "refuse",
    reservation: 123_456,
    reason: "queue_full",
    retryAfter: 1834,
  },
  load: {
    type: "load",
    running: 24,
    waiting: 310,
    limit: 26,
    lowestTierRank: 2,
    expectedWait: 1834.25,
    healthy: true,
  },
  "hand over, body of 4 KB": {
    type: "handOver",
    reservation: 123_456,
    grant: 98_765,
    method: "POST",
    path: "/v1/chat/completions",
    headers: { "content-type": "application/json" },
    body: new Uint8Array(4096),
    remaining: 29_990.25,
  },
  "chunk, one token": {
    type: "chunk",
    reservation: 123_456,
    sequence: 77,
    bytes: new Uint8Array(180),
  },
  end: { type: "end", reservation: 123_456, chunks: 350, length: 63_000 },
  heartbeat: { type: "heartbeat", configurationRevision: 1_796_254_869_586 },
};

function measure(message: Message): { bytes: number; microseconds: number } {
  const decoder = new FrameDecoder({ peer: "bench" });
  const round = () => decoder.push(encodeFrame([message]));
  for (let count = 0; count < WARM_UP_ROUNDS; count++) round();
  const start = performance.now();
  for (let count = 0; count < ROUNDS; count++) round();
  const elapsed = performance.now() - start;
  return {
    bytes: encodeFrame([message]).byteLength,
    microseconds: elapsed / ROUNDS * 1000,
  };
}

console.log("| message | bytes | with TCP/IP | µs, both sides |");
console.log("| --- | ---: | ---: | ---: |");
for (const [name, message] of Object.entries(MESSAGES)) {
  const { bytes, microseconds } = measure(message);
  const wire = bytes + TCP_IP_HEADER_BYTES;
  console.log(`| ${name} | ${bytes} | ${wire} | ${microseconds.toFixed(1)} |`);
}
