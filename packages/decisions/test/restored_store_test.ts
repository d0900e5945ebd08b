import fc from "fast-check";
import t from "tap";
import { isLater, laterOf, ServerDirectory } from "../src/mod.ts";
import {
  at,
  removed,
  serverRecord as server,
  written,
} from "./server_record.ts";

function usableIds(directory: ServerDirectory, now: number): string[] {
  return directory.usable(now).map(({ id }) => id).sort();
}

const Y = server("y", { port: 81 });

/** A directory at revision 47 of the first era, with servers x and y. */
function directoryOfTwo(): ServerDirectory {
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.merge([written(30, server("x")), written(31, Y)], at(47), 0);
  return directory;
}

/** The store is restored at 1000, and read as of revision 43. */
function readCopy(
  directory: ServerDirectory,
  states: Parameters<ServerDirectory["merge"]>[0],
): void {
  directory.recordRestore(1000);
  directory.mergeStoreRead(states, at(43, 2), 1000);
}

t.test("a position of a later era is later whatever its revision", (t) => {
  t.ok(isLater(at(3, 2), at(47, 1)));
  t.notOk(isLater(at(47, 1), at(3, 2)));
  t.notOk(isLater(at(3, 2), at(3, 2)));
  t.same(laterOf(at(47, 1), at(3, 2)), at(3, 2));
  t.end();
});

t.test("records that are written after a restore are used", (t) => {
  // Guards against dropping them as older for their lower revisions.
  const directory = directoryOfTwo();
  readCopy(directory, [
    written(30, server("x"), 2),
    written(31, Y, 2),
  ]);
  t.same(directory.position, at(43, 2));
  directory.apply(written(44, server("z", { port: 82 }), 2), 1100);
  directory.apply(removed(45, "y", 2), 4000);
  t.same(usableIds(directory, 4000), ["x", "z"]);
  t.end();
});

t.test("a server that the copy lacks is used until it had time to register again", (t) => {
  const directory = directoryOfTwo();
  readCopy(directory, [written(30, server("x"), 2)]);
  t.same(usableIds(directory, 2900), ["x", "y"]);
  t.same(usableIds(directory, 3000), ["x"]);
  directory.apply(written(44, Y, 2), 3100);
  t.same(usableIds(directory, 3100), ["x", "y"]);
  t.end();
});

t.test("a server that left does not come back with the copy", (t) => {
  const directory = directoryOfTwo();
  directory.apply(removed(48, "x"), 500);
  directory.apply(written(49, server("y", { port: 81, draining: true })), 500);
  readCopy(directory, [written(30, server("x"), 2), written(31, Y, 2)]);
  t.same(usableIds(directory, 1000), []);
  directory.apply(written(44, server("x", { slots: 3 }), 2), 1500);
  t.same(usableIds(directory, 1500), ["x"], "written again, so it lives");
  directory.apply(written(45, Y, 2), 1500);
  t.same(usableIds(directory, 1500), ["x"], "leaving is never taken back");
  t.end();
});

t.test("a server that registers late, at a revision of a lost write, is used", (t) => {
  // Guards against taking it for a record that the copy still holds.
  for (const lost of ["retained", "removed"]) {
    const directory = directoryOfTwo();
    directory.apply(written(48, Y), 500);
    if (lost === "removed") directory.apply(removed(49, "y"), 600);
    readCopy(directory, [written(30, server("x"), 2)]);
    t.same(usableIds(directory, 3000), ["x"], lost);
    directory.apply(written(44, Y, 2), 3500);
    t.same(usableIds(directory, 3500), ["x", "y"], lost);
  }
  t.end();
});

t.test("an earlier start that the copy holds stays away when it is read again", (t) => {
  const directory = directoryOfTwo();
  directory.apply(written(48, server("x", { startedAt: 5 })), 500);
  const copy = [written(30, server("x"), 2), written(31, Y, 2)];
  readCopy(directory, copy);
  t.same(usableIds(directory, 4000), ["y"]);
  directory.mergeStoreRead(copy, at(60, 2), 5000);
  t.same(usableIds(directory, 5000), ["y"]);
  t.end();
});

t.test("an earlier start in the copy does not replace a later one", (t) => {
  const directory = directoryOfTwo();
  directory.apply(written(48, server("x", { startedAt: 5 })), 500);
  readCopy(directory, [written(30, server("x"), 2), written(31, Y, 2)]);
  const startOfX = () =>
    directory.usable(1500).find(({ id }) => id === "x")?.startedAt;
  t.equal(startOfX(), 5);
  directory.apply(written(44, server("x", { startedAt: 5 }), 2), 1500);
  t.equal(startOfX(), 5);
  t.same(usableIds(directory, 5000), ["x", "y"]);
  t.end();
});

t.test("a view from before a restore changes nothing after it", (t) => {
  // Guards against a peer that has not noticed the restore.
  const directory = directoryOfTwo();
  readCopy(directory, [written(30, server("x"), 2), written(31, Y, 2)]);
  const late = server("late", { port: 83 });
  directory.merge([written(90, late)], at(90), 4000);
  directory.apply(removed(91, "x"), 4000);
  t.same(usableIds(directory, 4000), ["x", "y"]);
  t.same(directory.position, at(43, 2));
  t.end();
});

t.test("a removal before a second restore is not undone by its copy", (t) => {
  const directory = directoryOfTwo();
  directory.apply(removed(48, "x"), 500);
  readCopy(directory, [written(30, server("x"), 2), written(31, Y, 2)]);
  directory.recordRestore(5000);
  const copy = [written(30, server("x"), 3), written(31, Y, 3)];
  directory.mergeStoreRead(copy, at(40, 3), 5000);
  t.same(usableIds(directory, 5000), ["y"]);
  t.end();
});

t.test("no series of changes and restores brings back a server that left", (t) => {
  const event = fc.record({
    kind: fc.constantFrom("write", "drain", "remove", "copy", "restore"),
    id: fc.constantFrom("x", "y", "z"),
  });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 40 }), (events) => {
      const directory = new ServerDirectory();
      directory.recordStoreResponse(0);
      type Store = { revision: number; items: Map<string, [number, number]> };
      let store: Store = { revision: 1, items: new Map() };
      let copy = structuredClone(store);
      let era = 1;
      let now = 0;
      const starts = new Map<string, number>();
      const left = new Set<string>();
      const recordOf = (id: string, startedAt: number) =>
        server(id, { startedAt, port: 80 + "xyz".indexOf(id) });
      for (const { kind, id } of events) {
        now += 3000;
        const item = store.items.get(id);
        if (kind === "write" && item === undefined) {
          const start = (starts.get(id) ?? 0) + 1;
          starts.set(id, start);
          store.items.set(id, [++store.revision, start]);
          directory.apply(
            written(store.revision, recordOf(id, start), era),
            now,
          );
        } else if (kind === "drain" && item !== undefined) {
          const [, start] = item;
          store.items.set(id, [++store.revision, start]);
          const draining = { ...recordOf(id, start), draining: true };
          directory.apply(written(store.revision, draining, era), now);
          left.add(`${id}@${start}`);
        } else if (kind === "remove" && item !== undefined) {
          store.items.delete(id);
          directory.apply(removed(++store.revision, id, era), now);
          left.add(`${id}@${item[1]}`);
        } else if (kind === "copy") copy = structuredClone(store);
        else if (kind === "restore") {
          store = structuredClone(copy);
          era++;
          directory.recordRestore(now);
          const states = [...store.items].map(([id, [revision, start]]) =>
            written(revision, recordOf(id, start), era)
          );
          directory.mergeStoreRead(states, at(store.revision, era), now);
        }
        directory.advance(at(store.revision, era));
        const wrong = directory.usable(now).some(({ id, startedAt }) =>
          left.has(`${id}@${startedAt}`) ||
          startedAt < (starts.get(id) ?? 0)
        );
        if (wrong) return false;
      }
      return true;
    }),
    { seed: 20261203, numRuns: 1000 },
  );
  t.pass("no counterexample");
  t.end();
});
