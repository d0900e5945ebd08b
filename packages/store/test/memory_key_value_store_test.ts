import t from "tap";
import { MemoryKeyValueStore } from "../src/mod.ts";

t.test("writes only if the revision is the expected one", async (t) => {
  const store = new MemoryKeyValueStore();
  const first = await store.compareAndSwap({
    key: "k",
    expected: 0,
    value: "1",
  });
  const conflicting = await store.compareAndSwap({
    key: "k",
    expected: 0,
    value: "2",
  });
  t.match(first, { value: { swapped: true } });
  t.match(conflicting, { value: { swapped: false, current: { value: "1" } } });
});

t.test("removes keys of an expired lease and rejects writes with it", async (t) => {
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

t.test("ends a watch at a write and at a restored older state", async (t) => {
  const store = new MemoryKeyValueStore();
  const before = store.backup();
  const written = store.watch({ key: "k", after: 0, wait: 60_000 });
  await store.compareAndSwap({ key: "k", expected: 0, value: "1" });
  t.match(await written, { value: { changed: true, entry: { value: "1" } } });
  const restored = store.watch({ key: "k", after: 1, wait: 60_000 });
  store.restore(before);
  t.match(await restored, { value: { changed: true, entry: undefined } });
  const unchanged = await store.watch({ key: "k", after: 0, wait: 0 });
  t.match(unchanged, { value: { changed: false } });
});
