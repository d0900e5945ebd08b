import t from "tap";
import { RecentQuantiles } from "../src/estimates/recent_quantiles.ts";
import { nominalSlotTime } from "../src/dispatch/latency_ratio.ts";
import { SizeFairness } from "../src/dispatch/size_fairness.ts";
import type { Cost } from "../src/mod.ts";

const PRIORITY_CLASS = "0.0";
/** Slot time of granted requests in milliseconds. */
const SLOT_TIME = 2000;

function costOf(outputTokens: number): Cost {
  return { promptTokens: 100, outputTokens };
}

/**
 * Records requests of 1 to 100 tokens; grants those of up to `granted` tokens.
 */
function recordAll(fairness: SizeFairness, granted: number): void {
  for (let tokens = 1; tokens <= 100; tokens++) {
    const requestClass = fairness.recordRequest(
      PRIORITY_CLASS,
      costOf(tokens),
      false,
    );
    if (tokens <= granted) fairness.recordGrant(requestClass, SLOT_TIME);
  }
}

t.test("requests of a size class that is served often enough keep their value", (t) => {
  const fairness = new SizeFairness();
  recordAll(fairness, 100);
  recordAll(fairness, 100);
  const large = costOf(100);
  const requestClass = fairness.recordRequest(PRIORITY_CLASS, large, false);
  t.equal(requestClass.sizeClass, "largest");
  t.equal(fairness.valueOf(requestClass, large, 2), 2);
  t.end();
});

t.test("requests of a starved size class are ordered like granted requests", (t) => {
  const fairness = new SizeFairness();
  recordAll(fairness, 100);
  for (let round = 0; round < 10; round++) recordAll(fairness, 60);
  const large = costOf(100);
  const requestClass = fairness.recordRequest(PRIORITY_CLASS, large, false);
  const value = fairness.valueOf(requestClass, large, 0.01);
  t.equal(nominalSlotTime(large) / value, SLOT_TIME);
  const small = costOf(5);
  const usualClass = fairness.recordRequest(PRIORITY_CLASS, small, false);
  t.equal(fairness.valueOf(usualClass, small, 0.01), 0.01);
  t.end();
});

t.test("size classes are counted by priority class", (t) => {
  const fairness = new SizeFairness();
  recordAll(fairness, 100);
  for (let round = 0; round < 10; round++) recordAll(fairness, 60);
  const large = costOf(100);
  const otherClass = fairness.recordRequest("0.1", large, false);
  t.equal(fairness.valueOf(otherClass, large, 0.01), 0.01);
  t.end();
});

t.test("a retry is not counted as a second request", (t) => {
  const fairness = new SizeFairness();
  recordAll(fairness, 100);
  for (let retry = 0; retry < 200; retry++) {
    fairness.recordRequest(PRIORITY_CLASS, costOf(100), true);
  }
  const large = costOf(100);
  const requestClass = fairness.recordRequest(PRIORITY_CLASS, large, false);
  t.equal(fairness.valueOf(requestClass, large, 0.01), 0.01);
  t.end();
});

t.test("quantiles follow the most recent values", (t) => {
  const quantiles = new RecentQuantiles();
  t.equal(quantiles.value(0.9), undefined);
  for (let value = 1; value <= 11; value++) quantiles.add(value);
  t.equal(quantiles.value(0.9), 10);
  for (let value = 0; value < 300; value++) quantiles.add(1000 + value % 11);
  t.equal(quantiles.value(0.5), 1005);
  t.end();
});
