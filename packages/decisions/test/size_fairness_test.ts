import fc from "fast-check";
import t from "tap";
import { RecentQuantiles } from "../src/estimates/recent_quantiles.ts";
import { SizeFairness } from "../src/dispatch/size_fairness.ts";
import type { SizeClass } from "../src/dispatch/size_fairness.ts";
import type { Cost } from "../src/mod.ts";

const PRIORITY_CLASS = "0.0";
const NEW = { isRetry: false, hasWaited: false };
const RETRY = { isRetry: true, hasWaited: false };

function costOf(outputTokens: number): Cost {
  return { promptTokens: 100, outputTokens };
}

/**
 * Classifies requests of 1 to 100 tokens; grants those of up to `granted`
 * tokens.
 */
function recordAll(fairness: SizeFairness, granted: number): void {
  for (let tokens = 1; tokens <= 100; tokens++) {
    const requestClass = fairness.classify(
      PRIORITY_CLASS,
      costOf(tokens),
      NEW,
    );
    if (tokens <= granted) fairness.recordGrant(requestClass);
  }
}

t.test("size classes are the largest tenth, the fifth below it, and the rest", (t) => {
  const fairness = new SizeFairness();
  for (let round = 0; round < 3; round++) recordAll(fairness, 100);
  const sizeClassOf = (tokens: number) =>
    fairness.classify(PRIORITY_CLASS, costOf(tokens), RETRY).sizeClass;
  t.equal(sizeClassOf(95), "largest");
  t.equal(sizeClassOf(80), "large");
  t.equal(sizeClassOf(60), "usual");
  t.end();
});

t.test("a size class that is granted often enough is owed nothing", (t) => {
  const fairness = new SizeFairness();
  recordAll(fairness, 100);
  recordAll(fairness, 100);
  t.equal(fairness.owedClass(PRIORITY_CLASS), undefined);
  t.end();
});

t.test("starved size classes get their share from then on, and no more", (t) => {
  // Guards against a debt that grows while no request of the class waits.
  const fairness = new SizeFairness();
  recordAll(fairness, 100);
  for (let round = 0; round < 10; round++) recordAll(fairness, 60);
  const granted = Array.from({ length: 25 }, () => {
    const sizeClass = fairness.owedClass(PRIORITY_CLASS) ?? "usual";
    fairness.recordGrant({ priorityClass: PRIORITY_CLASS, sizeClass });
    return sizeClass;
  });
  const count = (sizeClass: SizeClass) =>
    granted.filter((one) => one === sizeClass).length;
  t.same(granted.slice(0, 2), ["largest", "large"]);
  t.ok(count("largest") >= 2 && count("largest") <= 3, granted.join(" "));
  t.ok(count("large") >= 4 && count("large") <= 5, granted.join(" "));
  t.end();
});

t.test("size classes are counted by priority class", (t) => {
  const fairness = new SizeFairness();
  recordAll(fairness, 100);
  for (let round = 0; round < 10; round++) recordAll(fairness, 60);
  fairness.classify("0.1", costOf(100), NEW);
  t.equal(fairness.owedClass("0.1"), undefined);
  t.not(fairness.owedClass(PRIORITY_CLASS), undefined);
  t.end();
});

t.test("a retry is not counted as a second request", (t) => {
  const fairness = new SizeFairness();
  recordAll(fairness, 100);
  for (let retry = 0; retry < 200; retry++) {
    fairness.classify(PRIORITY_CLASS, costOf(100), RETRY);
  }
  const { sizeClass } = fairness.classify(PRIORITY_CLASS, costOf(95), RETRY);
  t.equal(sizeClass, "largest");
  t.end();
});

t.test("grants before an overload hardly delay the first owed grant", (t) => {
  // Guards against a calm that makes up for refusals in the burst after it.
  const fairness = new SizeFairness();
  for (let round = 0; round < 20; round++) recordAll(fairness, 100);
  const usual = fairness.classify(PRIORITY_CLASS, costOf(5), RETRY);
  let grants = 0;
  while (fairness.owedClass(PRIORITY_CLASS) === undefined) {
    fairness.recordGrant(usual);
    grants++;
  }
  t.ok(grants <= 90, `${grants} grants`);
  t.end();
});

t.test("after a request that has waited elsewhere no deficit is tolerated", (t) => {
  // Guards against starving the largest requests again at each takeover.
  const fairness = new SizeFairness();
  recordAll(fairness, 100);
  const moved = { isRetry: false, hasWaited: true };
  const usual = fairness.classify(PRIORITY_CLASS, costOf(5), moved);
  fairness.recordGrant(usual);
  t.equal(fairness.owedClass(PRIORITY_CLASS), "large");
  t.end();
});

t.test("while all size classes wait, each gets its guaranteed share of any two hundred grants", (t) => {
  const sizeClasses = fc.constantFrom<SizeClass>("usual", "large", "largest");
  const other = fc.array(sizeClasses, { minLength: 300, maxLength: 600 });
  fc.assert(
    fc.property(other, (otherwiseGranted) => {
      const fairness = new SizeFairness();
      fairness.classify(PRIORITY_CLASS, costOf(1), NEW);
      const granted: SizeClass[] = [];
      for (const otherwise of otherwiseGranted) {
        const sizeClass = fairness.owedClass(PRIORITY_CLASS) ?? otherwise;
        fairness.recordGrant({ priorityClass: PRIORITY_CLASS, sizeClass });
        granted.push(sizeClass);
      }
      return granted.every((_, start) => {
        const span = granted.slice(start, start + 200);
        const count = (sizeClass: SizeClass) =>
          span.filter((one) => one === sizeClass).length;
        return span.length < 200 ||
          count("largest") >= 8 && count("large") >= 18;
      });
    }),
  );
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
