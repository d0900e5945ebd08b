import fc from "fast-check";
import t from "tap";
import { RouteFairness } from "../src/dispatch/route_fairness.ts";

const TIER = 3;

function rank(routeRank: number) {
  return { tierRank: TIER, routeRank };
}

t.test("a route that is granted as often as others is owed nothing", (t) => {
  const fairness = new RouteFairness();
  for (let index = 0; index < 400; index++) {
    fairness.recordRequest(rank(index % 4), false);
    fairness.recordGrant(rank(index % 4));
  }
  t.same(fairness.owedRoutes(TIER), []);
  t.end();
});

t.test("starved routes of a tier are owed a grant, the most starved first", (t) => {
  const fairness = new RouteFairness();
  for (let index = 0; index < 400; index++) {
    fairness.recordRequest(rank(index % 4), false);
    if (index % 4 === 0) fairness.recordGrant(rank(0));
    if (index % 16 === 1) fairness.recordGrant(rank(1));
  }
  t.same(new Set(fairness.owedRoutes(TIER)), new Set([2, 3]));
  t.same(fairness.owedRoutes(TIER + 1), []);
  fairness.recordGrant(rank(2));
  t.equal(fairness.owedRoutes(TIER)[0], 3);
  t.end();
});

t.test("after a request that has waited elsewhere no deficit is tolerated", (t) => {
  // Guards against starving a route again at each takeover.
  const fairness = new RouteFairness();
  for (let index = 0; index < 20; index++) {
    fairness.recordRequest(rank(index % 2), index === 19);
  }
  fairness.recordGrant(rank(0));
  t.same(fairness.owedRoutes(TIER), [1]);
  t.end();
});

t.test("while all routes wait, each gets its guaranteed share of any three hundred grants", (t) => {
  const routes = fc.constantFrom(0, 1, 2);
  const other = fc.array(routes, { minLength: 500, maxLength: 800 });
  fc.assert(
    fc.property(other, (otherwiseGranted) => {
      const fairness = new RouteFairness();
      const granted: number[] = [];
      for (const [index, otherwise] of otherwiseGranted.entries()) {
        // Of ten requests one is of route 2, two of route 1.
        const arriving = [0, 0, 0, 1, 0, 0, 2, 0, 1, 0][index % 10]!;
        fairness.recordRequest(rank(arriving), false);
        const routeRank = fairness.owedRoutes(TIER)[0] ?? otherwise;
        fairness.recordGrant(rank(routeRank));
        granted.push(routeRank);
      }
      return granted.every((_, start) => {
        const span = granted.slice(start, start + 300);
        const count = (routeRank: number) =>
          span.filter((one) => one === routeRank).length;
        return span.length < 300 || count(2) >= 8 && count(1) >= 18;
      });
    }),
  );
  t.end();
});
