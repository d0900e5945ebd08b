import t from "tap";
import { encodeFrame, FrameDecoder, LinkError } from "../src/mod.ts";
import type { Message } from "../src/mod.ts";

const messages: Message[] = [
  { type: "grant", reservation: 1, grant: 2, lapse: 500 },
  { type: "chunk", reservation: 1, sequence: 0, bytes: Buffer.from("abc") },
];

function thrownBy(action: () => unknown): unknown {
  try {
    return action();
  } catch (error) {
    return error;
  }
}

t.test("decodes messages that arrive byte by byte", (t) => {
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

t.test("decodes two frames that arrive together", (t) => {
  const decoder = new FrameDecoder({ peer: "peer" });
  const frame = encodeFrame(messages);
  t.equal(decoder.push(Buffer.concat([frame, frame])).length, 4);
  t.end();
});

t.test("rejects a frame whose announced size exceeds the limit", (t) => {
  const decoder = new FrameDecoder({ peer: "peer", maximumFrameBytes: 10 });
  t.match(thrownBy(() => decoder.push(Buffer.from([0, 0, 0, 11]))), {
    reason: "frame_too_large",
    step: "decode",
    peer: "peer",
  });
  t.end();
});

t.test("rejects a frame whose payload is not CBOR", (t) => {
  const decoder = new FrameDecoder({ peer: "peer" });
  const bytes = Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]);
  t.throws(() => decoder.push(bytes), LinkError);
  t.end();
});

t.test("rejects a message that does not match the schema", (t) => {
  const decoder = new FrameDecoder({ peer: "peer" });
  const frame = encodeFrame([{ type: "grant", reservation: -1 } as Message]);
  t.match(thrownBy(() => decoder.push(frame)), { reason: "unknown_message" });
  t.end();
});
