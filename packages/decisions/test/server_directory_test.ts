import t from "tap";
import { ServerDirectory } from "../src/mod.ts";
import { serverRecord as server } from "./server_record.ts";

function ids(directory: ServerDirectory, now: number): string[] {
  return directory.usable(now).map(({ id }) => id);
}

t.test("a record that vanishes in quiet times is dropped at once", (t) => {
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.replace([server("x"), server("y")], 5, 0);
  directory.recordStoreResponse(1000);
  directory.remove("x", 1000);
  t.same(ids(directory, 1000), ["y"]);
  t.end();
});

t.test("a watch without news for long is no outage", (t) => {
  // Nothing changes for six seconds, and watches wait as long. Then a server
  // leaves: its record is removed. Taken for the end of an outage, the record was
  // kept for two seconds, and the server got requests 2.1 s after it had left.
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.replace([server("x"), server("y")], 5, 0);
  directory.recordStoreResponse(6000);
  directory.remove("x", 6000);
  t.same(ids(directory, 6000), ["y"]);
  directory.recordStoreFailure();
  directory.recordStoreResponse(7000);
  directory.remove("y", 7000);
  t.same(ids(directory, 7000), [], "one failed call is none either");
  t.end();
});

t.test("records that lapse in an outage are kept until servers are back", (t) => {
  // The store is away for some seconds and leases run out meanwhile. On its
  // return the records are missing although all servers live: dropping them
  // refused every request of the service until they had registered again.
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.replace([server("x"), server("y")], 5, 0);
  directory.recordStoreFailure();
  directory.recordStoreResponse(6000);
  directory.replace([], 9, 6000);
  t.same(ids(directory, 7900), ["x", "y"]);
  directory.put("x", server("x"), 7950);
  t.same(ids(directory, 8001), ["x"], "the one still missing is gone");
  t.end();
});

t.test("a draining server, another start and a bad record are not used", (t) => {
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  const first = server("x");
  directory.replace([first], 5, 0);
  t.ok(directory.mayUse(first));
  directory.put("x", server("x", { startedAt: 2 }), 10);
  t.notOk(directory.mayUse(first), "the same id, started anew");
  directory.put("x", server("x", { startedAt: 2, draining: true }), 20);
  t.same(ids(directory, 20), []);
  directory.put("y", server("y"), 30);
  directory.put("y", undefined, 40);
  t.same(ids(directory, 40), []);
  t.end();
});

t.test("of two servers at one address the last to start is used", (t) => {
  // A server crashes and is back at its address under a new id. Its old record
  // lapses seconds later; until then each request for the old id was rejected by
  // the new server, and 92 callers were refused in a second.
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  const old = server("old");
  directory.replace([old, server("z", { port: 81 })], 5, 0);
  t.same(ids(directory, 10), ["old", "z"]);
  const later = server("new", { startedAt: 2000 });
  directory.put("new", later, 20);
  t.same(ids(directory, 20), ["z", "new"]);
  t.notOk(directory.mayUse(old));
  t.ok(directory.mayUse(later));
  directory.remove("new", 30);
  t.same(ids(directory, 30), ["old", "z"]);
  t.end();
});
