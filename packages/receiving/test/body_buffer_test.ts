import t from "tap";
import { BodyBuffer } from "../src/mod.ts";

const KIB = 1024;
const MAXIMUM = 1024 * KIB;

t.test("a body is that of its chunks, whatever their sizes", (t) => {
  const chunks = [1, 100, 20 * KIB, 3, 70 * KIB, 8 * KIB, 5000, 1, 9000];
  const expected = chunks.map((size, index) => Buffer.alloc(size, index));
  const whole = Buffer.concat(expected);
  for (const stated of [undefined, whole.length]) {
    const body = new BodyBuffer(stated, MAXIMUM);
    for (const chunk of expected) body.append(chunk);
    t.equal(body.length, whole.length);
    t.ok(body.take().equals(whole));
  }
  t.end();
});

// Guards against chunks that need several hundred times their content.
t.test("chunks of one byte need little more memory than their bytes", (t) => {
  const body = new BodyBuffer(undefined, MAXIMUM);
  const byte = Buffer.from("x");
  for (let count = 0; count < 40 * KIB; count++) body.append(byte);
  t.equal(body.memoryFor(body.length), 64 * KIB);
  t.equal(body.take().buffer.byteLength, 64 * KIB);
  t.end();
});

// Guards against a large body that is held twice once it is whole.
t.test("a body of a stated length gets one buffer of this length", (t) => {
  const body = new BodyBuffer(200 * KIB, MAXIMUM);
  for (let count = 0; count < 200; count++) body.append(Buffer.alloc(KIB));
  t.equal(body.take().buffer.byteLength, 200 * KIB);
  t.end();
});

// Guards against bodies that hold the largest size until their responses end.
t.test("a short body of unknown length keeps only what it needs", (t) => {
  const body = new BodyBuffer(undefined, MAXIMUM);
  for (let count = 0; count < 100; count++) body.append(Buffer.alloc(KIB));
  t.equal(body.memoryFor(body.length), MAXIMUM);
  t.equal(body.take().buffer.byteLength, 100 * KIB);
  t.equal(body.capacity, 100 * KIB);
  t.end();
});

t.test("a body of one chunk is not copied", (t) => {
  const body = new BodyBuffer(2 * KIB, MAXIMUM);
  const chunk = Buffer.alloc(2 * KIB);
  body.append(chunk);
  t.equal(body.take().buffer, chunk.buffer);
  t.end();
});

t.test("a body without chunks is empty", (t) => {
  t.equal(new BodyBuffer(0, MAXIMUM).take().length, 0);
  t.end();
});
