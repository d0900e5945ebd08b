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

/** A directory that has had contact with the store, with servers x and y. */
function directoryOfTwo(): ServerDirectory {
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.merge([written(3, server("x")), Y], at(5), 0);
  return directory;
}

const Y = written(4, server("y", { port: 81 }));
const DRAINING_X = written(9, server("x", { draining: true }));

t.test("an older complete read does not bring back a draining server", (t) => {
  const directory = directoryOfTwo();
  directory.merge([DRAINING_X, Y], at(10), 100);
  directory.merge([written(3, server("x")), Y], at(8), 200);
  t.same(usableIds(directory, 200), ["y"]);
  t.same(directory.position, at(10));
  t.end();
});

t.test("an older complete read does not bring back a removed server", (t) => {
  const directory = directoryOfTwo();
  directory.merge([Y], at(10), 100);
  directory.merge([written(3, server("x")), Y], at(8), 200);
  t.same(usableIds(directory, 200), ["y"]);
  t.end();
});

t.test("an older watch batch does not bring back a draining server", (t) => {
  const directory = directoryOfTwo();
  directory.merge([DRAINING_X, Y], at(10), 100);
  directory.apply(written(8, server("x")), 200);
  directory.advance(at(8));
  t.same(usableIds(directory, 200), ["y"]);
  t.end();
});

t.test("an older watch batch does not bring back a removed server", (t) => {
  const directory = directoryOfTwo();
  directory.merge([Y], at(10), 100);
  directory.apply(written(8, server("x")), 200);
  directory.advance(at(8));
  t.same(usableIds(directory, 200), ["y"]);
  t.end();
});

t.test("a record retained after an outage does not outlive that time at a peer", (t) => {
  // Guards against requests to a removed server that a peer still retains.
  const cutOff = directoryOfTwo();
  cutOff.recordStoreFailure();
  cutOff.recordStoreResponse(6000);
  cutOff.apply(removed(9, "x"), 6100);
  cutOff.advance(at(9));
  const peer = directoryOfTwo();
  peer.recordStoreResponse(6000);
  peer.apply(removed(9, "x"), 6100);
  peer.advance(at(9));
  cutOff.apply(written(10, server("z", { port: 82 })), 6500);
  cutOff.advance(at(10));
  peer.merge(cutOff.registered(), cutOff.position, 6500);
  t.same(usableIds(cutOff, 8001), ["y", "z"], "the entry that was cut off");
  t.same(usableIds(peer, 8001), ["y", "z"], "its peer");
  t.end();
});

t.test("a record that is removed while the store responds to peers is not retained", (t) => {
  // Guards against taking an entry that is cut off for an outage of the store.
  const directory = directoryOfTwo();
  directory.recordStoreFailure();
  for (let at = 1000; at <= 6000; at += 1000) directory.recordPeerContact(at);
  directory.recordStoreResponse(6100);
  directory.apply(removed(9, "x"), 6200);
  t.same(usableIds(directory, 6200), ["y"]);
  t.end();
});

t.test("a later record does not bring back a start that leaves", (t) => {
  const directory = directoryOfTwo();
  directory.apply(DRAINING_X, 100);
  directory.apply(written(11, server("x")), 200);
  t.same(usableIds(directory, 200), ["y"]);
  directory.apply(written(12, server("x", { startedAt: 2 })), 300);
  t.same(usableIds(directory, 300).sort(), ["x", "y"]);
  t.end();
});

t.test("entries that merge the same changes in any order use the same servers", (t) => {
  const change = fc.record({
    id: fc.constantFrom("x", "y", "z"),
    kind: fc.constantFrom("ready", "draining", "removed"),
    startedAt: fc.constantFrom(1, 2),
  });
  const changes = fc.array(change, { maxLength: 12 });
  const orders = fc.infiniteStream(fc.nat());
  fc.assert(
    fc.property(changes, orders, (changes, order) => {
      const states = changes.map(({ id, kind, startedAt }, index) => {
        const draining = kind === "draining";
        const port = 80 + ["x", "y", "z"].indexOf(id);
        return kind === "removed"
          ? removed(index + 1, id)
          : written(index + 1, server(id, { startedAt, draining, port }));
      });
      const ordered = new ServerDirectory();
      for (const state of states) ordered.apply(state, 0);
      const shuffled = new ServerDirectory();
      const remaining = [...states];
      while (remaining.length > 0) {
        const index = order.next().value % remaining.length;
        const [state] = remaining.splice(index, 1);
        shuffled.apply(state!, 0);
        // A peer's view in between is older than what is known here.
        if (index % 3 === 0) shuffled.merge(ordered.registered(), at(0), 0);
      }
      return usableIds(ordered, 0).sort().join() ===
        usableIds(shuffled, 0).sort().join();
    }),
    { seed: 37, numRuns: 500 },
  );
  t.end();
});

t.test("a late view of a peer does not bring back a server that was never known", (t) => {
  const directory = directoryOfTwo();
  directory.mergeStoreRead([Y], at(105), 100);
  directory.merge([written(50, server("z", { port: 82 })), Y], at(100), 200);
  t.same(usableIds(directory, 200), ["y"]);
  t.end();
});

t.test("a read of the store brings back a server that a peer's view lacked", (t) => {
  const directory = directoryOfTwo();
  directory.merge([Y], at(100), 100);
  t.same(usableIds(directory, 100), ["y"]);
  directory.mergeStoreRead([written(3, server("x")), Y], at(120), 200);
  t.same(usableIds(directory, 200).sort(), ["x", "y"]);
  t.end();
});

t.test("a read of the store shows a server that a peer's view never had", (t) => {
  const directory = new ServerDirectory();
  directory.merge([Y], at(100), 100);
  directory.mergeStoreRead([written(3, server("x")), Y], at(120), 200);
  t.same(usableIds(directory, 200).sort(), ["x", "y"]);
  t.end();
});
