import t from "tap";
import { BodyBuffer } from "../src/mod.ts";

const KIB = 1024;

t.test("a body is that of its chunks, whatever their sizes", (t) => {
  const body = new BodyBuffer();
  const chunks = [1, 100, 20 * KIB, 3, 70 * KIB, 8 * KIB, 5000, 1, 9000];
  const expected = chunks.map((size, index) => Buffer.alloc(size, index));
  for (const chunk of expected) body.append(chunk);
  t.equal(body.length, chunks.reduce((sum, size) => sum + size));
  t.ok(body.take().equals(Buffer.concat(expected)));
  t.end();
});

// Guards against chunks that need several hundred times their content.
t.test("chunks of one byte need little more memory than their bytes", (t) => {
  const body = new BodyBuffer();
  const byte = Buffer.from("x");
  for (let count = 0; count < 200 * KIB; count++) body.append(byte);
  t.ok(body.memory >= 200 * KIB);
  t.ok(body.memory <= 256 * KIB, `${body.memory} bytes`);
  t.end();
});

t.test("a large chunk is kept without a copy", (t) => {
  const body = new BodyBuffer();
  const chunk = Buffer.alloc(64 * KIB);
  body.append(chunk);
  t.equal(body.memory, chunk.length);
  t.equal(body.take().buffer, chunk.buffer);
  t.end();
});

t.test("a body without chunks is empty", (t) => {
  t.equal(new BodyBuffer().take().length, 0);
  t.end();
});
