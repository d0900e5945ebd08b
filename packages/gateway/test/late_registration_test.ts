import { MemoryMetadataStore } from "@sycamorepulley/store";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { MEMBER_PREFIX } from "../src/state/entry_registration.ts";
import { Fixture, storedConfiguration, waitUntil } from "./fixture.ts";
import { LateWriteStore } from "./late_write_store.ts";

const KEY = `${MEMBER_PREFIX}entry-1`;

t.test("a registration that is executed late does not replace a newer one", async (t) => {
  // Guards against a key under a lease that nobody renews.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const storeView = new LateWriteStore(store);
  const entry = await Fixture.start({ store, storeView });
  t.ok(await waitUntil(() => store.keys().includes(KEY)));
  await sleep(50);
  await storeView.executeLate();
  store.expireLease(storeView.leases[0]!);
  t.ok(store.keys().includes(KEY));
  await entry.stop();
  store.outage = true;
});

t.test("a registration that was executed without a response is replaced", async (t) => {
  // Guards against a condition that the entry's own lost write prevents for good.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const storeView = new LateWriteStore(store);
  const entry = await Fixture.start({ store, storeView });
  t.ok(await waitUntil(() => storeView.leases.length === 1));
  await storeView.executeLate();
  t.ok(await waitUntil(() => storeView.leases.length > 1));
  await sleep(50);
  store.expireLease(storeView.leases[0]!);
  t.ok(store.keys().includes(KEY));
  await entry.stop();
  store.outage = true;
});

/** Starts an entry, and registers it under a lease that it renews. */
async function startRegistered() {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const entry = await Fixture.start({ store });
  await entry.waitUntilReady();
  t.ok(await waitUntil(() => store.keys().includes(KEY)));
  return { store, entry };
}

function valueOf(store: MemoryMetadataStore): string | undefined {
  return store.backup().items.find(([key]) => key === KEY)?.[1].value;
}

t.test("an entry registers again if its key alone is removed", async (t) => {
  // Guards against a renewed lease that counts as a registration.
  const { store, entry } = await startRegistered();
  store.remove(KEY);
  t.ok(await waitUntil(() => store.keys().includes(KEY)));
  await entry.stop();
  store.outage = true;
});

t.test("an entry replaces a record of another writer under its key", async (t) => {
  // Guards against others that connect to a wrong address for good.
  const { store, entry } = await startRegistered();
  const own = valueOf(store);
  for (let count = 0; count < 3; count++) {
    store.put(KEY, JSON.stringify({ instance: "x", host: "h", port: 1 }));
    t.ok(await waitUntil(() => valueOf(store) === own));
  }
  await entry.stop();
  store.outage = true;
});

t.test("an entry whose key is contested writes it a few times a second at most", async (t) => {
  // Guards against two instances of one name that write against each other.
  const { store, entry } = await startRegistered();
  const own = valueOf(store);
  let replaced = 0;
  for (let round = 0; round < 200; round++) {
    if (valueOf(store) === own) {
      store.put(KEY, JSON.stringify({ instance: "x", host: "h", port: 1 }));
      replaced++;
    }
    await sleep(10);
  }
  t.ok(replaced >= 2 && replaced <= 6, `${replaced} times in 2 s`);
  await entry.stop();
  store.outage = true;
});

t.test("an entry that stops does not register again", async (t) => {
  const { store, entry } = await startRegistered();
  await entry.stop();
  await sleep(100);
  t.notOk(store.keys().includes(KEY));
  store.outage = true;
});
