import t from "tap";
import { HeadMemory } from "../src/mod.ts";

const HEAP = 110_000_000;

t.test("heads of ordinary requests don't count", (t) => {
  const memory = new HeadMemory(HEAP);
  const admitted = Array.from({ length: 10_000 }, () => memory.admit(20));
  t.ok(admitted.every((bytes) => bytes === 0));
  t.not(memory.admit(1000), undefined);
  t.end();
});

// Guards against heads that fill the heap together.
t.test("large heads share a part of the heap", (t) => {
  const memory = new HeadMemory(HEAP);
  const admitted: number[] = [];
  for (;;) {
    const bytes = memory.admit(1000);
    if (bytes === undefined) break;
    admitted.push(bytes);
  }
  const used = admitted.reduce((sum, bytes) => sum + bytes, 0);
  t.ok(used > 0 && used <= HEAP / 4, `${used} bytes`);
  memory.release(admitted[0]!);
  t.equal(memory.admit(1000), admitted[0]);
  t.equal(memory.admit(1000), undefined);
  t.end();
});
