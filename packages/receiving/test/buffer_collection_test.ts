import process from "node:process";
import t from "tap";
import { BufferCollection } from "../src/buffer_collection.ts";

const MEBIBYTE = 1024 * 1024;
const BUDGET = 32 * MEBIBYTE;

// Guards against memory that stays high after large bodies were released.
t.test("unused buffers are collected at an eighth of the budget", (t) => {
  const collection = new BufferCollection(BUDGET);
  const before = process.memoryUsage().arrayBuffers;
  let buffers = Array.from({ length: 40 }, () => Buffer.alloc(MEBIBYTE));
  t.ok(process.memoryUsage().arrayBuffers - before > 30 * MEBIBYTE);
  buffers = [];
  collection.recordUnused(4 * MEBIBYTE - 1);
  collection.recordUnused(1);
  const after = process.memoryUsage().arrayBuffers - before;
  t.ok(after < 4 * MEBIBYTE, `${after} bytes`);
  t.equal(buffers.length, 0);
  t.end();
});
