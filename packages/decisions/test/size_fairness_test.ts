import t from "tap";
import { RecentQuantiles } from "../src/estimates/recent_quantiles.ts";
import { nominalUse } from "../src/dispatch/latency_ratio.ts";
import { SizeShares } from "../src/dispatch/size_fairness.ts";
import type { Cost } from "../src/mod.ts";

const KIND = "0.0";
const USE = 2000;

function costOf(outputTokens: number): Cost {
  return { promptTokens: 100, outputTokens };
}

/** Asks of 1 to 100 tokens; those up to `granted` are granted. */
function askAll(shares: SizeShares, granted: number): void {
  for (let tokens = 1; tokens <= 100; tokens++) {
    const asked = shares.asked(KIND, costOf(tokens), false);
    if (tokens <= granted) shares.granted(asked, USE);
  }
}

t.test("a class served as often as its kind keeps its value", (t) => {
  const shares = new SizeShares();
  askAll(shares, 100);
  askAll(shares, 100);
  const large = costOf(100);
  const asked = shares.asked(KIND, large, false);
  t.equal(asked.sizeClass, "largest");
  t.equal(shares.valueOf(asked, large, 2), 2);
  t.end();
});

t.test("a starved class is ordered like asks that are granted", (t) => {
  const shares = new SizeShares();
  askAll(shares, 100);
  for (let round = 0; round < 10; round++) askAll(shares, 60);
  const large = costOf(100);
  const asked = shares.asked(KIND, large, false);
  const value = shares.valueOf(asked, large, 0.01);
  t.equal(nominalUse(large) / value, USE);
  const small = costOf(5);
  const usual = shares.asked(KIND, small, false);
  t.equal(shares.valueOf(usual, small, 0.01), 0.01);
  t.end();
});

t.test("a class is counted by kind", (t) => {
  const shares = new SizeShares();
  askAll(shares, 100);
  for (let round = 0; round < 10; round++) askAll(shares, 60);
  const large = costOf(100);
  const other = shares.asked("0.1", large, false);
  t.equal(shares.valueOf(other, large, 0.01), 0.01);
  t.end();
});

t.test("a return does not count as a second ask", (t) => {
  const shares = new SizeShares();
  askAll(shares, 100);
  for (let again = 0; again < 200; again++) {
    shares.asked(KIND, costOf(100), true);
  }
  const large = costOf(100);
  const asked = shares.asked(KIND, large, false);
  t.equal(shares.valueOf(asked, large, 0.01), 0.01);
  t.end();
});

t.test("quantiles follow the latest values", (t) => {
  const quantiles = new RecentQuantiles();
  t.equal(quantiles.value(0.9), undefined);
  for (let value = 1; value <= 11; value++) quantiles.add(value);
  t.equal(quantiles.value(0.9), 10);
  for (let value = 0; value < 300; value++) quantiles.add(1000 + value % 11);
  t.equal(quantiles.value(0.5), 1005);
  t.end();
});
