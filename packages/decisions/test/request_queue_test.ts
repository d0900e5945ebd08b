import t from "tap";
import { QueuedRequest, RequestQueue } from "../src/dispatch/request_queue.ts";
import type { VisitResult } from "../src/dispatch/request_queue.ts";
import { RouteFairness } from "../src/dispatch/route_fairness.ts";
import { SizeFairness } from "../src/dispatch/size_fairness.ts";
import type { SizeClass } from "../src/dispatch/size_fairness.ts";
import type { RequestStanding } from "../src/mod.ts";
import { grantRequest } from "./grant_requests.ts";

class FixedSizeFairness extends SizeFairness {
  override owedClass(priorityClass: string): SizeClass | undefined {
    return priorityClass === "0.0" ? "largest" : undefined;
  }
}

class FixedRouteFairness extends RouteFairness {
  override owedRoutes(tierRank: number): number[] {
    return tierRank === 0 ? [2] : [];
  }
}

function queued(
  id: string,
  outputTokens: number,
  sizeClass: SizeClass,
  options: {
    standing?: RequestStanding;
    tierRank?: number;
    routeRank?: number;
  } = {},
): QueuedRequest {
  const { standing = "timely", tierRank = 0, routeRank = 0 } = options;
  const cost = { promptTokens: 100, outputTokens };
  return new QueuedRequest(grantRequest({ id, cost, tierRank, routeRank }), {
    standing,
    standingEndsAt: 1000,
    value: 1,
    requestClass: { priorityClass: `${tierRank}.${routeRank}`, sizeClass },
  });
}

function queueOf(
  requests: QueuedRequest[],
  { sizes = new FixedSizeFairness(), routes = new RouteFairness() } = {},
): RequestQueue {
  const queue = new RequestQueue({ sizes, routes });
  for (const request of requests) queue.push(request);
  return queue;
}

/** Ids in the order of the visit; all others are taken. */
function visitOrder(
  queue: RequestQueue,
  results: Record<string, VisitResult> = {},
): string[] {
  const ids: string[] = [];
  queue.visit(({ request: { id } }) => {
    ids.push(id);
    return results[id] ?? "taken";
  });
  return ids;
}

const small = () => queued("small", 5, "usual");
const medium = () => queued("medium", 50, "usual");
const large = () => queued("large", 500, "largest");
const larger = () => queued("larger", 900, "largest");

t.test("an owed size class takes the position of the first request", (t) => {
  const queue = queueOf([small(), large(), medium()]);
  t.same(visitOrder(queue), ["large", "small", "medium"]);
  t.equal(queue.size, 0);
  t.end();
});

t.test("requests that nothing is owed to are visited in order", (t) => {
  const queue = queueOf([large(), medium(), small()], {
    sizes: new SizeFairness(),
  });
  t.same(visitOrder(queue), ["small", "medium", "large"]);
  t.end();
});

t.test("a size class that is owed a grant does not pass other priority classes", (t) => {
  const urgent = queued("urgent", 5, "usual");
  const lower = queued("lower", 500, "largest", { routeRank: 1 });
  const other = queued("other", 5, "usual", { routeRank: 1 });
  t.same(visitOrder(queueOf([lower, other, urgent])), [
    "urgent",
    "other",
    "lower",
  ]);
  t.end();
});

t.test("an owed request does not pass one of better standing", (t) => {
  const late = queued("late", 500, "largest", { standing: "late" });
  t.same(visitOrder(queueOf([late, small()])), ["small", "late"]);
  const alsoLate = queued("also late", 5, "usual", { standing: "late" });
  const queue = queueOf([
    queued("late", 500, "largest", { standing: "late" }),
    alsoLate,
  ]);
  t.same(visitOrder(queue), ["late", "also late"]);
  t.end();
});

t.test("slots that suit no owed request go to the others", (t) => {
  // Guards against a pass that ends with owed requests no free server admits.
  const queue = queueOf([small(), large(), larger()]);
  const order = visitOrder(queue, { large: "no_server" });
  t.same(order, ["large", "small", "larger"]);
  t.equal(queue.size, 1);
  t.end();
});

t.test("an owed request that is blocked leaves its position to the next one", (t) => {
  const queue = queueOf([small(), large(), larger()]);
  const order = visitOrder(queue, { large: "blocked" });
  t.same(order, ["large", "larger", "small"]);
  t.equal(queue.size, 1);
  t.end();
});

t.test("an owed route takes the position of the first request of its tier only", (t) => {
  const routes = new FixedRouteFairness();
  const owed = queued("owed", 900, "usual", { routeRank: 2 });
  const lowerTier = queued("lower tier", 5, "usual", { tierRank: 1 });
  const lowerOwed = queued("lower owed", 900, "usual", {
    tierRank: 1,
    routeRank: 2,
  });
  const queue = queueOf([lowerOwed, lowerTier, owed, small()], { routes });
  t.same(visitOrder(queue), ["owed", "small", "lower tier", "lower owed"]);
  t.end();
});

t.test("slots that suit no request of an owed route go to the others", (t) => {
  const routes = new FixedRouteFairness();
  const owed = () => queued("owed", 900, "usual", { routeRank: 2 });
  const next = () => queued("next", 950, "usual", { routeRank: 2 });
  const queue = queueOf([owed(), next(), small()], { routes });
  const order = visitOrder(queue, { owed: "no_server" });
  t.same(order, ["owed", "small", "next"]);
  t.end();
});
