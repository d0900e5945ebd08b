import t from "tap";
import { StreamDurationBound } from "../src/mod.ts";

const cost = (outputTokens: number) => ({ promptTokens: 600, outputTokens });

t.test("a stream's bound is that of the longest seen for their estimates", (t) => {
  // Estimates are off by a factor of six at times. An entry that believed them
  // took streams that its own end then cut, which nobody may do at a planned stop.
  const streams = new StreamDurationBound();
  t.ok(streams.upperBound(cost(100)) >= 5000, "careful before any was seen");
  for (let count = 0; count < 600; count++) {
    const factor = count % 100 === 0 ? 6 : 1;
    streams.observe(cost(100), 200 + 100 * factor * 4);
  }
  t.ok(streams.upperBound(cost(100)) > 200 + 100 * 6 * 4);
  t.ok(streams.upperBound(cost(100)) < 4000);
  t.ok(streams.upperBound(cost(300)) > streams.upperBound(cost(100)) * 2);
  t.end();
});

t.test("plain calls say nothing of streams", (t) => {
  const streams = new StreamDurationBound();
  const before = streams.upperBound(cost(100));
  const plain = { promptTokens: 0, outputTokens: 1 };
  for (let count = 0; count < 600; count++) streams.observe(plain, 9000);
  t.equal(streams.upperBound(cost(100)), before);
  t.end();
});
