import t from "tap";
import { MemoryKeyValueStore } from "../src/mod.ts";

t.test("swaps only from the expected revision", async (t) => {
  const store = new MemoryKeyValueStore();
  const first = await store.compareAndSwap({
    key: "k",
    expected: 0,
    value: "1",
  });
  const racing = await store.compareAndSwap({
    key: "k",
    expected: 0,
    value: "2",
  });
  t.match(first, { value: { swapped: true } });
  t.match(racing, { value: { swapped: false, current: { value: "1" } } });
});

t.test("a lapsed lease takes its key along and frees its revision", async (t) => {
  let now = 0;
  const store = new MemoryKeyValueStore({ clock: () => now });
  const lease = (await store.grantLease(100)).unwrapOr("");
  await store.compareAndSwap({ key: "k", expected: 0, value: "1", lease });
  now = 99;
  t.match(await store.renewLease(lease), { value: true });
  now = 198;
  t.match(await store.get("k"), { value: { value: "1" } });
  now = 199;
  t.match(await store.get("k"), { value: undefined });
  t.match(await store.renewLease(lease), { value: false });
  const late = await store.compareAndSwap({
    key: "k",
    expected: 0,
    value: "2",
    lease,
  });
  t.match(late, { error: { reason: "status", applied: "no" } });
});

t.test("a watch ends at a write and at a restored state", async (t) => {
  const store = new MemoryKeyValueStore();
  const before = store.backup();
  const written = store.watch({ key: "k", after: 0, wait: 60_000 });
  await store.compareAndSwap({ key: "k", expected: 0, value: "1" });
  t.match(await written, { value: { changed: true, entry: { value: "1" } } });
  const restored = store.watch({ key: "k", after: 1, wait: 60_000 });
  store.restore(before);
  t.match(await restored, { value: { changed: true, entry: undefined } });
  const quiet = await store.watch({ key: "k", after: 0, wait: 0 });
  t.match(quiet, { value: { changed: false } });
});
