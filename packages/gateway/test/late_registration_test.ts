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
