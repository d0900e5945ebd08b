import fc from "fast-check";
import t from "tap";
import { incarnationOf, ServerDirectory } from "../src/mod.ts";
import type { ServerRecord } from "../src/mod.ts";
import { removed, serverRecord, written } from "./server_record.ts";

const IDS = ["s0", "s1", "s2"];
/** Entries that exchange what they know. */
const ENTRIES = 3;

type Event =
  | { kind: "registers"; entry: number; id: string; startedAt: number }
  | { kind: "drains"; entry: number; id: string; startedAt: number }
  | { kind: "removed"; entry: number; id: string }
  | { kind: "says"; entry: number; id: string; startedAt: number }
  | { kind: "heartbeat"; entry: number; to: number }
  | { kind: "outage"; entry: number }
  | { kind: "restarts"; entry: number };

const entry = fc.nat(ENTRIES - 1);
const id = fc.constantFrom(...IDS);
const startedAt = fc.integer({ min: 1, max: 2 });
const events = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant("registers"), entry, id, startedAt }),
    fc.record({ kind: fc.constant("drains"), entry, id, startedAt }),
    fc.record({ kind: fc.constant("removed"), entry, id }),
    fc.record({ kind: fc.constant("says"), entry, id, startedAt }),
    fc.record({ kind: fc.constant("heartbeat"), entry, to: entry }),
    fc.record({ kind: fc.constant("outage"), entry }),
    fc.record({ kind: fc.constant("restarts"), entry }),
  ) as fc.Arbitrary<Event>,
  { maxLength: 60 },
);

function recordOf(id: string, startedAt: number, draining = false) {
  const port = 1 + IDS.indexOf(id);
  return serverRecord(id, { startedAt, draining, port });
}

/** One entry's directory, beside one that nothing is told of leaving. */
class Entry {
  directory = new ServerDirectory();
  plain = new ServerDirectory();
  /** Incarnations that this entry was told are leaving. */
  told = new Set<string>();

  get both(): ServerDirectory[] {
    return [this.directory, this.plain];
  }

  put(revision: number, record: ServerRecord, now: number): void {
    for (const directory of this.both) {
      directory.apply(written(revision, record), now);
    }
  }

  tell(incarnation: string): void {
    this.told.add(incarnation);
    this.directory.markLeaving(incarnation);
  }
}

function apply(
  entries: Entry[],
  event: Event,
  revision: number,
  now: number,
): void {
  const entry = entries[event.entry]!;
  switch (event.kind) {
    case "registers":
      return entry.put(revision, recordOf(event.id, event.startedAt), now);
    case "drains":
      return entry.put(
        revision,
        recordOf(event.id, event.startedAt, true),
        now,
      );
    case "removed":
      return entry.both.forEach((directory) =>
        directory.apply(removed(revision, event.id), now)
      );
    case "says":
      return entry.tell(`${event.id}@${event.startedAt}`);
    case "heartbeat":
      return entry.directory.leavingUnrecorded()
        .forEach((server) => entries[event.to]!.tell(server));
    case "outage":
      return entry.both.forEach((directory) => {
        directory.recordStoreResponse(now);
        directory.recordStoreFailure();
        directory.recordStoreResponse(now + 1600);
      });
    case "restarts":
      entries[event.entry] = new Entry();
  }
}

/** Whether an entry uses just the servers that it was not told are leaving. */
function usesOthersOnly(entry: Entry, now: number): boolean {
  const { directory, plain, told } = entry;
  const expected = plain.usable(now).map(incarnationOf)
    .filter((server) => !told.has(server));
  const usable = directory.usable(now);
  const records = [1, 2]
    .flatMap((startedAt) => IDS.map((id) => recordOf(id, startedAt)));
  return usable.map(incarnationOf).sort().join() === expected.sort().join() &&
    records.every((record) =>
      !told.has(incarnationOf(record)) || !directory.isUsable(record)
    );
}

t.test("in any order of events an entry never uses a server that it was told is leaving", (t) => {
  fc.assert(
    fc.property(events, (sequence) => {
      const entries = Array.from({ length: ENTRIES }, () => new Entry());
      return sequence.every((event, index) => {
        const now = index * 700;
        apply(entries, event, index + 1, now);
        return entries.every((entry) => usesOthersOnly(entry, now));
      });
    }),
    { numRuns: 500, seed: 34 },
  );
  t.end();
});

t.test("in whichever order records and responses arrive, the same servers are used", (t) => {
  const said = fc.subarray(IDS.flatMap((id) => [`${id}@1`, `${id}@2`]));
  const starts = fc.array(fc.record({ id, startedAt }), { maxLength: 8 });
  fc.assert(
    fc.property(said, starts, fc.boolean(), (leaving, registered, early) => {
      const directory = new ServerDirectory();
      const mark = () => leaving.forEach((one) => directory.markLeaving(one));
      if (early) mark();
      for (const [index, { id, startedAt }] of registered.entries()) {
        directory.apply(written(index + 1, recordOf(id, startedAt)), 0);
      }
      if (!early) mark();
      const last = new Map(registered.map((one) => [one.id, one.startedAt]));
      const expected = [...last].map(([id, startedAt]) => `${id}@${startedAt}`)
        .filter((server) => !leaving.includes(server));
      const usable = directory.usable(0).map(incarnationOf);
      return usable.sort().join() === expected.sort().join();
    }),
    { numRuns: 300, seed: 34 },
  );
  t.end();
});

t.test("only registered servers without a record of draining are announced", (t) => {
  const directory = new ServerDirectory();
  for (const id of IDS) {
    directory.apply(written(1, recordOf(id, 1)), 0);
    t.ok(directory.markLeaving(`${id}@1`));
  }
  t.notOk(directory.markLeaving("s0@1"));
  directory.markLeaving("unknown@1");
  directory.apply(written(2, recordOf("s1", 1, true)), 0);
  directory.apply(removed(3, "s2"), 0);
  t.same(directory.leavingUnrecorded(), ["s0@1"]);
  directory.apply(written(4, recordOf("s0", 2)), 0);
  t.same(directory.leavingUnrecorded(), []);
  t.end();
});
