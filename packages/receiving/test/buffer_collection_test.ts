import process from "node:process";
import t from "tap";
import { waitFor } from "../../testing/src/process/wait_for.ts";
import { BufferCollection } from "../src/buffer_collection.ts";

const MEBIBYTE = 1024 * 1024;
const BUDGET = 32 * MEBIBYTE;

// Guards against memory that stays high after large bodies were released.
t.test("unused buffers are collected at an eighth of the budget", async (t) => {
  const collection = new BufferCollection(BUDGET);
  const before = process.memoryUsage().arrayBuffers;
  const growth = () => process.memoryUsage().arrayBuffers - before;
  let buffers = Array.from({ length: 40 }, () => Buffer.alloc(MEBIBYTE));
  t.ok(growth() > 30 * MEBIBYTE);
  buffers = [];
  collection.recordUnused(4 * MEBIBYTE - 1);
  t.ok(growth() > 30 * MEBIBYTE);
  collection.recordUnused(1);
  // V8 frees the memory of collected buffers on another thread.
  await waitFor("the buffers to be freed", () => growth() < 4 * MEBIBYTE);
  t.equal(buffers.length, 0);
});
