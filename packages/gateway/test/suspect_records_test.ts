import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { EraCheckedStore } from "../src/state/era_checked_store.ts";
import { FleetDivision } from "../src/state/fleet_division.ts";
import { SuspectRecords } from "../src/state/suspect_records.ts";
import { LateWriteStore } from "./late_write_store.ts";
import { createContact, QUARANTINE } from "./store_access.ts";

t.test("quarantines are read again while entries are divided, each once", async (t) => {
  // Guards against renewing a short quarantine for as long as it is stored.
  let now = 0;
  const clock = () => now;
  const contact = createContact(clock);
  const reads: string[][] = [];
  const records = new SuspectRecords({
    store: new EraCheckedStore(new MemoryMetadataStore(), contact),
    contact,
    clock,
    signal: new AbortController().signal,
    onRead: (statements) =>
      reads.push(statements.map(({ fingerprint }) => fingerprint)),
  });
  await records.read();
  await records.write({ ...QUARANTINE, remaining: 1500 });
  await records.readWhileDivided();
  t.strictSame(reads, [[]]);
  for (now = 1000; now <= 2000; now += 1000) await records.readWhileDivided();
  t.strictSame(reads, [[], ["fatal"], []]);
});

t.test("entries are divided while a registered one has had no link for a second", (t) => {
  const division = new FleetDivision();
  division.update(["b", "c"], new Set(["b"]), 0);
  t.notOk(division.isDivided(900));
  division.update(["b", "c"], new Set(["b"]), 1000);
  t.ok(division.isDivided(1000));
  division.update(["b"], new Set(["b"]), 1200);
  t.notOk(division.isDivided(1200));
  t.end();
});

// Guards against a late write that ends a newer quarantine early.
t.test("a write that is executed late replaces no newer statement", async (t) => {
  const store = new MemoryMetadataStore();
  const view = new LateWriteStore(store);
  const contact = createContact();
  const stopped = new AbortController();
  const records = new SuspectRecords({
    store: new EraCheckedStore(view, contact),
    contact,
    clock: () => performance.now(),
    signal: stopped.signal,
    onRead: () => {},
  });
  const newer = { ...QUARANTINE, revision: QUARANTINE.revision + 1 };
  const first = records.write(QUARANTINE);
  await records.write(newer);
  await view.executeLate();
  await first;
  const { items } = (await store.readPage("sycamorepulley/quarantines/"))
    .unwrapOr({ items: [], more: false, asOf: 0, era: 0 });
  const stored = items.map(({ value }) => JSON.parse(value).revision);
  t.strictSame(stored, [newer.revision]);
  stopped.abort();
});

// Guards against a sound request that counts as suspect after each restart.
t.test("the record of a request that was cleared is removed", async (t) => {
  const store = new MemoryMetadataStore();
  const contact = createContact();
  const records = new SuspectRecords({
    store: new EraCheckedStore(store, contact),
    contact,
    clock: () => performance.now(),
    signal: new AbortController().signal,
    onRead: () => {},
  });
  const suspect = { ...QUARANTINE, kind: "suspect", crashes: 2 } as const;
  await records.write(suspect);
  t.strictSame(store.keys(), ["sycamorepulley/quarantines/fatal"]);
  const cleared = { ...suspect, kind: "clear", revision: 4 } as const;
  await records.write(cleared);
  t.strictSame(store.keys(), []);
  await records.write(cleared);
  t.strictSame(store.keys(), []);
});
