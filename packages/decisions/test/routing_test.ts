import t from "tap";
import { chooseService, RouteTable } from "../src/mod.ts";
import type { Route } from "../src/mod.ts";

function route(prefix: string, host = "a.example"): Route {
  return {
    name: prefix,
    host,
    prefix,
    repeatability: "idempotent",
    targets: [{ service: "orders", weight: 1 }],
    timeout: 1000,
    latencyGoal: 100,
    tierRank: 0,
    maximumServers: 1,
    allowsAnonymous: false,
    resumable: false,
    pauseGoal: undefined,
  };
}

t.test("the longest matching prefix selects the route", (t) => {
  const table = new RouteTable([route("/"), route("/a/"), route("/a/b/")]);
  t.equal(table.find("a.example", "/a/b/c")?.name, "/a/b/");
  t.equal(table.find("a.example", "/a/c")?.name, "/a/");
  t.equal(table.find("a.example", "/c")?.name, "/");
  t.equal(table.find("A.example:8080", "/a/b/?q=/x/")?.name, "/a/b/");
  t.end();
});

t.test("a prefix matches whole path segments of its own host only", (t) => {
  const table = new RouteTable([route("/a/")]);
  t.equal(table.find("a.example", "/ab/"), undefined);
  t.equal(table.find("a.example", "/a"), undefined);
  t.equal(table.find("b.example", "/a/"), undefined);
  t.equal(table.find("a.example", "/x?/a/"), undefined);
  t.end();
});

t.test("traffic is split by weight", (t) => {
  const split: Route = {
    ...route("/"),
    targets: [{ service: "old", weight: 90 }, { service: "new", weight: 10 }],
  };
  t.equal(chooseService(split, 0), "old");
  t.equal(chooseService(split, 0.899), "old");
  t.equal(chooseService(split, 0.901), "new");
  t.equal(chooseService(split, 0.9999), "new");
  t.end();
});
