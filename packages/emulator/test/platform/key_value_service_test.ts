import { HttpKeyValueStore } from "@sycamorepulley/store";
import t from "tap";
import type { Test } from "tap";
import { startKeyValueStore } from "../../src/platform/mod.ts";

async function started(t: Test) {
  const server = await startKeyValueStore();
  const store = new HttpKeyValueStore({ url: server.url, timeout: 500 });
  t.teardown(async () => {
    await store.close();
    await server.close();
  });
  const steer = async (path: string, body: unknown = {}) => {
    const method = "PUT";
    const url = server.url + path;
    await fetch(url, { method, body: JSON.stringify(body) });
  };
  return { store, steer, url: server.url };
}

t.test("swaps, reads and watches over HTTP", async (t) => {
  const { store, url } = await started(t);
  const key = "configuration/100%";
  const watched = store.watch({ key, after: 0, wait: 10_000 });
  const value = "ž\nvalue";
  t.match(await store.compareAndSwap({ key, expected: 0, value }), {
    value: { swapped: true, revision: 1 },
  });
  t.match(await watched, {
    value: { changed: true, entry: { value, revision: 1 } },
  });
  t.match(await store.watch({ key, after: 1, wait: 0 }), {
    value: { changed: false },
  });
  t.match(await store.get(key), { value: { value, revision: 1 } });
  t.match(await store.compareAndSwap({ key, expected: 0, value: "late" }), {
    value: { swapped: false, current: { value, revision: 1 } },
  });
  t.match(await store.compareAndSwap({ key: "b", expected: 7, value: "" }), {
    value: { swapped: false, current: undefined },
  });
  t.match(await store.get("absent"), { value: undefined });
  const counts = await (await fetch(`${url}/counts`)).json();
  t.match(counts, { reads: 4, writes: 3 });
});

t.test("leases are kept, lapse and take their keys along", async (t) => {
  const { store } = await started(t);
  const lease = (await store.grantLease(60_000)).unwrapOr("");
  const key = "k";
  await store.compareAndSwap({ key, expected: 0, value: "1", lease });
  t.match(await store.renewLease(lease), { value: true });
  t.ok((await store.revokeLease(lease)).isOk);
  t.match(await store.renewLease(lease), { value: false });
  t.match(await store.get(key), { value: undefined });
  const late = await store.compareAndSwap({
    key,
    expected: 0,
    value: "2",
    lease,
  });
  t.match(late, { error: { reason: "status", applied: "no" } });
});

t.test("a lost answer hides a write that took effect", async (t) => {
  const { store, steer } = await started(t);
  await steer("/faults", { lostWriteAnswers: 1 });
  const swap = { key: "k", expected: 0, value: "1" };
  t.match(await store.compareAndSwap(swap), { error: { applied: "unknown" } });
  t.match(await store.get("k"), { value: { value: "1" } });
  t.match(await store.compareAndSwap({ ...swap, expected: 1 }), {
    value: { swapped: true },
  });
});

t.test("each kind of outage leaves the state untouched", async (t) => {
  const { store, steer } = await started(t);
  for (
    const [outage, applied] of [
      ["refuse", "no"],
      ["reset", "unknown"],
      ["hang", "unknown"],
    ]
  ) {
    await steer("/faults", { outage });
    const swap = { key: "k", expected: 0, value: "1" };
    t.match(await store.compareAndSwap(swap), { error: { applied } });
    await steer("/faults", {});
    t.match(await store.get("k"), { value: undefined });
  }
});

t.test("a restored backup forgets newer writes", async (t) => {
  const { store, steer } = await started(t);
  await store.compareAndSwap({ key: "k", expected: 0, value: "old" });
  await steer("/backup");
  await store.compareAndSwap({ key: "k", expected: 1, value: "new" });
  await steer("/restore");
  t.match(await store.get("k"), { value: { value: "old", revision: 1 } });
});
