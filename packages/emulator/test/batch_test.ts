import t from "tap";
import { Batch } from "../src/engine/batch.ts";

const SETTINGS = {
  speed: 1,
  maxSequences: 2,
  stepTime: 10,
  sequenceTime: 1,
  prefillTime: 0.1,
  prefillTokensPerStep: 100,
};

function sequence(
  remainingPrefillTokens: number,
  remainingOutputTokens: number,
) {
  return { remainingPrefillTokens, remainingOutputTokens, onToken: () => {} };
}

t.test("a step takes longer the more sequences decode", (t) => {
  const batch = new Batch(SETTINGS);
  batch.add(sequence(0, 5));
  t.equal(batch.step(1).duration, 11);
  batch.add(sequence(0, 5));
  t.equal(batch.step(1).duration, 12);
  t.equal(batch.step(3).duration, 36);
  t.end();
});

t.test("prefill is spread over several steps and delays the decoding sequences", (t) => {
  const batch = new Batch({ ...SETTINGS, speed: 2 });
  batch.add(sequence(0, 9));
  batch.add(sequence(150, 9));
  const first = batch.step(1);
  t.equal(first.duration, (10 + 1 + 10) / 2);
  t.equal(first.decoded.length, 1);
  t.equal(batch.step(1).decoded.length, 2);
  t.end();
});

t.test("sequences over the limit wait for a free slot", (t) => {
  const batch = new Batch(SETTINGS);
  [1, 1, 1].forEach((tokens) => batch.add(sequence(0, tokens)));
  t.equal(batch.step(1).decoded.length, 2);
  t.equal(batch.waiting, 1);
  t.equal(batch.step(1).decoded.length, 1);
  t.ok(batch.isIdle);
  t.end();
});
