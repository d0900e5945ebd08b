import fc from "fast-check";
import t from "tap";
import { ServerDirectory } from "../src/mod.ts";
import {
  at,
  removed,
  serverRecord as server,
  written,
} from "./server_record.ts";

function usableIds(directory: ServerDirectory, now: number): string[] {
  return directory.usable(now).map(({ id }) => id);
}

t.test("a record that disappears without an outage is removed at once", (t) => {
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.merge([written(3, server("x")), written(4, server("y"))], at(5), 0);
  directory.recordStoreResponse(1000);
  directory.apply(removed(6, "x"), 1000);
  t.same(usableIds(directory, 1000), ["y"]);
  t.end();
});

t.test("a long watch without changes does not count as an outage", (t) => {
  // Otherwise a stopped server is sent requests for another 2.1 s.
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.merge([written(3, server("x")), written(4, server("y"))], at(5), 0);
  directory.recordStoreResponse(6000);
  directory.apply(removed(6, "x"), 6000);
  t.same(usableIds(directory, 6000), ["y"]);
  directory.recordStoreFailure();
  directory.recordStoreResponse(7000);
  directory.apply(removed(7, "y"), 7000);
  t.same(usableIds(directory, 7000), [], "neither does a single failed call");
  t.end();
});

t.test("records that expire in an outage are retained for re-registration", (t) => {
  // Otherwise all requests are refused until the servers register again.
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.merge([written(3, server("x")), written(4, server("y"))], at(5), 0);
  directory.recordStoreFailure();
  directory.recordStoreResponse(6000);
  directory.merge([], at(9), 6000);
  t.same(usableIds(directory, 7900), ["x", "y"]);
  directory.apply(written(10, server("x")), 7950);
  t.same(
    usableIds(directory, 8001),
    ["x"],
    "a server that did not register again is removed",
  );
  t.end();
});

t.test("draining servers, earlier starts and unreadable records are not used", (t) => {
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  const first = server("x");
  directory.merge([written(5, first)], at(5), 0);
  t.ok(directory.isUsable(first));
  directory.apply(written(6, server("x", { startedAt: 2 })), 10);
  t.notOk(directory.isUsable(first), "an earlier start with the same id");
  directory.apply(
    written(7, server("x", { startedAt: 2, draining: true })),
    20,
  );
  t.same(usableIds(directory, 20), []);
  directory.apply(written(8, server("y")), 30);
  directory.apply(removed(9, "y"), 40);
  t.same(usableIds(directory, 40), []);
  t.end();
});

t.test("of two servers at one address the one started last is used", (t) => {
  // The new server rejected requests for the old id: 92 refusals in a second.
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  const old = server("old");
  directory.merge(
    [written(4, old), written(5, server("z", { port: 81 }))],
    at(5),
    0,
  );
  t.same(usableIds(directory, 10), ["old", "z"]);
  const later = server("new", { startedAt: 2000 });
  directory.apply(written(6, later), 20);
  t.same(usableIds(directory, 20), ["z", "new"]);
  t.notOk(directory.isUsable(old));
  t.ok(directory.isUsable(later));
  directory.apply(removed(7, "new"), 30);
  t.same(usableIds(directory, 30), ["old", "z"]);
  t.end();
});

t.test("only a server of a configured service takes another's address", (t) => {
  // Records of another writer put all servers out of use.
  const directory = new ServerDirectory();
  const own = server("own");
  const foreign = server("foreign", { service: "unknown", startedAt: 2000 });
  directory.merge([written(4, own), written(5, foreign)], at(5), 0);
  directory.setServices(new Set(["assistant", "drafts"]));
  t.same(usableIds(directory, 10), ["own"]);
  t.ok(directory.isUsable(own));
  t.notOk(directory.isUsable(foreign));
  directory.apply(
    written(6, server("next", { service: "drafts", startedAt: 1000 })),
    20,
  );
  t.same(usableIds(directory, 20), ["next"], "services may reuse addresses");
  directory.setServices(new Set(["assistant", "drafts", "unknown"]));
  t.same(usableIds(directory, 30), ["foreign"], "the service is new");
  t.end();
});

t.test("a record of another service that copies a server's start is not used", (t) => {
  const directory = new ServerDirectory();
  directory.setServices(new Set(["assistant"]));
  const copy = server("copy", { service: "unknown" });
  directory.merge([written(4, copy), written(5, server("own"))], at(5), 0);
  t.same(usableIds(directory, 10), ["own"]);
  t.end();
});

t.test("an address that a configured server had is not taken by an unknown service", (t) => {
  // Runs of a server whose record was removed or replaced counted as crashed.
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.setServices(new Set(["assistant"]));
  const unknown = { service: "unknown", startedAt: 2000 };
  const foreign = server("foreign", unknown);
  directory.merge([written(4, server("own")), written(5, foreign)], at(5), 0);
  t.same(usableIds(directory, 10), ["own"]);
  directory.apply(written(6, server("own", unknown)), 20);
  t.same(usableIds(directory, 20), [], "the record was replaced");
  directory.apply(written(7, server("own")), 30);
  t.same(usableIds(directory, 30), ["own"], "the server wrote its own again");
  directory.apply(removed(8, "own"), 40);
  t.same(usableIds(directory, 40), []);
  directory.setServices(new Set(["assistant", "unknown"]));
  t.same(usableIds(directory, 50), ["foreign"], "the service is new");
  t.end();
});

t.test("a service that is no longer configured keeps its servers' addresses", (t) => {
  const directory = new ServerDirectory();
  directory.setServices(new Set(["assistant"]));
  directory.merge([written(4, server("own"))], at(5), 0);
  t.same(usableIds(directory, 10), ["own"]);
  directory.setServices(new Set(["drafts"]));
  const foreign = server("foreign", { service: "unknown", startedAt: 2000 });
  directory.apply(written(6, foreign), 20);
  t.same(usableIds(directory, 20), ["own"], "it still runs requests");
  t.end();
});

t.test("records of services that aren't configured leave all servers in use", (t) => {
  const own = [81, 82, 83].map((port) =>
    server(`s${port}`, { port, startedAt: port })
  );
  const change = fc.record({
    id: fc.constantFrom("f1", "f2", "f3", "f4"),
    changes: fc.record({
      service: fc.constantFrom("", "unknown", "assistant "),
      port: fc.integer({ min: 80, max: 84 }),
      startedAt: fc.oneof(
        fc.constantFrom(0, 81, 82, 83, Number.MAX_SAFE_INTEGER),
        fc.nat(),
      ),
      version: fc.constantFrom("", "v1", "v2"),
      draining: fc.boolean(),
    }),
    isRemoved: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(change), fc.nat({ max: 3 }), (changes, early) => {
      const directory = new ServerDirectory();
      directory.setServices(new Set(["assistant"]));
      changes.forEach(({ id, changes, isRemoved }, index) => {
        if (index === early) {
          own.forEach((record) => directory.apply(written(9, record), index));
        }
        const state = isRemoved
          ? removed(10 + index, id)
          : written(10 + index, server(id, changes));
        directory.apply(state, index);
        if (index < early) return;
        const usable = directory.usable(index)
          .filter(({ service }) => service === "assistant");
        if (!own.every((record) => directory.isUsable(record))) {
          throw new Error("a server is not usable");
        }
        if (usable.length !== own.length) throw new Error("not all are listed");
      });
    }),
    { seed: 1, numRuns: 500 },
  );
  t.end();
});
