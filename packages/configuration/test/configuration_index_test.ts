import t from "tap";
import { ConfigurationIndex } from "../src/mod.ts";
import { EXAMPLE, NOW, readExample } from "./example.ts";

const index = new ConfigurationIndex(readExample(EXAMPLE).objects);
const orders = index.service("orders")!;
const cafe = index.organisation("cafe")!;

t.test("looks up organisations, services, versions and moves", (t) => {
  t.equal(index.organisationOfToken("token"), cafe);
  t.equal(index.organisationOfToken("other"), undefined);
  t.equal(index.serviceOfModel("tea-1")?.name, "assistant");
  t.equal(index.liveVersion("assistant")?.name, "v1");
  t.equal(index.unfinishedMove("assistant", NOW)?.name, "to-v2");
  t.equal(index.unfinishedMove("assistant", NOW + 3_600_000), undefined);
  t.end();
});

t.test("an exact route takes precedence over a prefix", (t) => {
  t.match(index.matchRoute(orders, "POST", "/orders/search"), {
    idempotent: true,
    tier: "batch",
  });
  t.match(index.matchRoute(orders, "POST", "/orders/7"), {
    route: "/orders/*",
    idempotent: false,
    tier: "urgent",
  });
  t.end();
});

t.test("a call without a route is idempotent only if its method is safe", (t) => {
  t.ok(index.matchRoute(orders, "GET", "/x").idempotent);
  for (const method of ["POST", "PUT", "DELETE", "PATCH"]) {
    t.notOk(index.matchRoute(orders, method, "/x").idempotent);
  }
  t.end();
});

t.test("a request gets the default tier or an allowed one", (t) => {
  const defaultTier = "urgent";
  const tierOf = (requestedTier?: string) =>
    index.resolveTier({
      organisation: cafe,
      defaultTier,
      ...(requestedTier && { requestedTier }),
    });
  t.match(tierOf(), { value: { name: "urgent" } });
  t.match(tierOf("batch"), { value: { name: "batch" } });
  t.match(tierOf("x"), { error: "unknown_tier" });
  const refused = index.resolveTier({
    organisation: cafe,
    defaultTier: "batch",
    requestedTier: "urgent",
  });
  t.match(refused, { error: "tier_not_allowed" });
  t.end();
});
