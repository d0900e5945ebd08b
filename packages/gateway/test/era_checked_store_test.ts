import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { EraCheckedStore } from "../src/state/era_checked_store.ts";
import { PrefixFollower } from "../src/state/prefix_follower.ts";
import { SuspectRecords } from "../src/state/suspect_records.ts";
import { StateListener } from "../src/state/state_listener.ts";
import { createContact, QUARANTINE } from "./store_access.ts";

t.test("a response from before a restore fails if it arrives after one", async (t) => {
  const data = new MemoryMetadataStore();
  const contact = createContact();
  const store = new EraCheckedStore(data, contact);
  const backup = data.backup();
  const late = data.readPage("");
  data.restore(backup);
  t.ok((await store.readPage("")).isOk);
  t.equal(contact.era, 2);
  data.readPage = () => late;
  const outdated = await store.readPage("");
  t.match(outdated.isErr && outdated.error, { reason: "outdated" });
  t.equal(contact.era, 2);
  t.end();
});

t.test("a peer's era ends what was read before, also before the store responds", async (t) => {
  // Guards against changes that are missed below the position of a watch.
  const data = new MemoryMetadataStore();
  const contact = createContact();
  const keys: string[][] = [];
  const stopped = new AbortController();
  const follower = new PrefixFollower({
    store: new EraCheckedStore(data, contact),
    prefix: "",
    listener: new StateListener({
      onSnapshot: (items) => keys.push(items.map(({ key }) => key)),
      onChange: () => {},
    }),
    contact,
    watchTimeout: () => 2000,
    clock: () => performance.now(),
  });
  const run = follower.run(stopped.signal);
  const isRead = async (count: number) => {
    for (let tries = 0; tries < 100 && keys.length < count; tries++) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    return keys.length >= count;
  };
  t.ok(await isRead(1));
  const backup = data.backup();
  for (let count = 0; count < 5; count++) data.put("lost", "");
  await new Promise((resolve) => setTimeout(resolve, 50));
  data.restore(backup);
  for (let count = 0; count < 9; count++) data.put(`new-${count}`, "");
  contact.recordEra(2, "peer");
  t.ok(await isRead(2));
  t.equal(keys[1]?.length, 9);
  stopped.abort();
  data.outage = true;
  await run;
});

t.test("a quarantine is not bound to a lease of before a restore", async (t) => {
  // Guards against a key that ends with the lease of another one.
  const data = new MemoryMetadataStore();
  const contact = createContact();
  const stopped = new AbortController();
  const records = new SuspectRecords({
    store: new EraCheckedStore(data, contact),
    contact,
    clock: () => performance.now(),
    signal: stopped.signal,
    onRead: () => {},
  });
  await records.read();
  const backup = data.backup();
  const grantLease = data.grantLease.bind(data);
  let grants = 0;
  data.grantLease = async () => {
    const lease = await grantLease();
    if (grants++ > 0) return lease;
    data.restore(backup);
    await grantLease();
    return lease;
  };
  await records.write(QUARANTINE);
  t.equal(grants, 2);
  t.same(data.keys(), ["sycamorepulley/quarantines/fatal"]);
  stopped.abort();
});
