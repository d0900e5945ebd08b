import t from "tap";
import { encodeFrame, FrameDecoder, LinkError } from "../src/mod.ts";
import type { Message } from "../src/mod.ts";

const messages: Message[] = [
  { type: "grant", reservation: 1, grant: 2, lapse: 500 },
  { type: "chunk", reservation: 1, sequence: 0, bytes: Buffer.from("abc") },
];

function caught(action: () => unknown): unknown {
  try {
    return action();
  } catch (error) {
    return error;
  }
}

t.test("round trip byte by byte", (t) => {
  const decoder = new FrameDecoder({ peer: "peer" });
  const received: Message[] = [];
  for (const byte of encodeFrame(messages)) {
    received.push(...decoder.push(Uint8Array.of(byte)));
  }
  t.equal(received.length, 2);
  t.same(received[0], messages[0]);
  const chunk = received[1];
  t.equal(
    chunk?.type === "chunk" && Buffer.from(chunk.bytes).toString(),
    "abc",
  );
  t.end();
});

t.test("two frames in one read", (t) => {
  const decoder = new FrameDecoder({ peer: "peer" });
  const frame = encodeFrame(messages);
  t.equal(decoder.push(Buffer.concat([frame, frame])).length, 4);
  t.end();
});

t.test("announced size beyond the bound", (t) => {
  const decoder = new FrameDecoder({ peer: "peer", maximumFrameBytes: 10 });
  t.match(caught(() => decoder.push(Buffer.from([0, 0, 0, 11]))), {
    reason: "frame_too_large",
    step: "decode",
    peer: "peer",
  });
  t.end();
});

t.test("bytes that are no frame", (t) => {
  const decoder = new FrameDecoder({ peer: "peer" });
  const bytes = Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]);
  t.throws(() => decoder.push(bytes), LinkError);
  t.end();
});

t.test("an unknown message names its field", (t) => {
  const decoder = new FrameDecoder({ peer: "peer" });
  const frame = encodeFrame([{ type: "grant", reservation: -1 } as Message]);
  t.match(caught(() => decoder.push(frame)), { reason: "unknown_message" });
  t.end();
});
