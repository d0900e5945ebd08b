import t from "tap";
import { StreamDurationBound } from "../src/mod.ts";

const cost = (outputTokens: number) => ({ promptTokens: 600, outputTokens });

t.test("the bound covers the longest observed streams of the same estimate", (t) => {
  // Estimates are off by a factor of six; a planned stop must not cut streams.
  const streams = new StreamDurationBound();
  t.ok(streams.upperBound(cost(100)) >= 5000, "the initial bound is high");
  for (let count = 0; count < 600; count++) {
    const factor = count % 100 === 0 ? 6 : 1;
    streams.observe(cost(100), 200 + 100 * factor * 4);
  }
  t.ok(streams.upperBound(cost(100)) > 200 + 100 * 6 * 4);
  t.ok(streams.upperBound(cost(100)) < 4000);
  t.ok(streams.upperBound(cost(300)) > streams.upperBound(cost(100)) * 2);
  t.end();
});

t.test("a few slow streams raise the bound of a process that has just started", (t) => {
  // Guards against cutting off streams by a stop soon after the start.
  const streams = new StreamDurationBound();
  streams.observe(cost(100), 12_000);
  t.ok(streams.upperBound(cost(100)) > 12_000);
  t.ok(new StreamDurationBound().upperBound(cost(100)) < 12_000);
  t.end();
});

t.test("calls without a stream don't change the bound", (t) => {
  const streams = new StreamDurationBound();
  const before = streams.upperBound(cost(100));
  const plain = { promptTokens: 0, outputTokens: 1 };
  for (let count = 0; count < 600; count++) streams.observe(plain, 9000);
  t.equal(streams.upperBound(cost(100)), before);
  t.end();
});
