import { HttpKeyValueStore } from "@sycamorepulley/store";
import t from "tap";
import type { Test } from "tap";
import { startKeyValueStore } from "../../src/platform/mod.ts";

async function startStore(t: Test) {
  const server = await startKeyValueStore();
  const store = new HttpKeyValueStore({ url: server.url, timeout: 500 });
  t.teardown(async () => {
    await store.close();
    await server.close();
  });
  const putControl = async (path: string, body: unknown = {}) => {
    const method = "PUT";
    const url = server.url + path;
    await fetch(url, { method, body: JSON.stringify(body) });
  };
  return { store, putControl, url: server.url };
}

t.test("swaps, reads and watches over HTTP", async (t) => {
  const { store, url } = await startStore(t);
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

t.test("a revoked lease deletes its keys and is refused afterwards", async (t) => {
  const { store } = await startStore(t);
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

t.test("a write takes effect although its response is lost", async (t) => {
  const { store, putControl } = await startStore(t);
  await putControl("/faults", { lostWriteAnswers: 1 });
  const swap = { key: "k", expected: 0, value: "1" };
  t.match(await store.compareAndSwap(swap), { error: { applied: "unknown" } });
  t.match(await store.get("k"), { value: { value: "1" } });
  t.match(await store.compareAndSwap({ ...swap, expected: 1 }), {
    value: { swapped: true },
  });
});

t.test("a write during any kind of outage takes no effect", async (t) => {
  const { store, putControl } = await startStore(t);
  for (
    const [outage, applied] of [
      ["refuse", "no"],
      ["reset", "unknown"],
      ["hang", "unknown"],
    ]
  ) {
    await putControl("/faults", { outage });
    const swap = { key: "k", expected: 0, value: "1" };
    t.match(await store.compareAndSwap(swap), { error: { applied } });
    await putControl("/faults", {});
    t.match(await store.get("k"), { value: undefined });
  }
});

t.test("restoring a backup discards later writes", async (t) => {
  const { store, putControl } = await startStore(t);
  await store.compareAndSwap({ key: "k", expected: 0, value: "old" });
  await putControl("/backup");
  await store.compareAndSwap({ key: "k", expected: 1, value: "new" });
  await putControl("/restore");
  t.match(await store.get("k"), { value: { value: "old", revision: 1 } });
});

t.test("leases and revisions of before a restore are not valid after it", async (t) => {
  // Guards against a lease whose number was given out again.
  const { store, putControl } = await startStore(t);
  await putControl("/backup");
  const lost = (await store.grantLease(60_000)).unwrapOr("");
  const swap = { key: "k", expected: 0, value: "1", era: store.era };
  let restores = 0;
  store.onRestore(() => restores++);
  await putControl("/restore");
  t.match(await store.compareAndSwap(swap), { error: { reason: "outdated" } });
  t.equal(restores, 1);
  const other = (await store.grantLease(60_000)).unwrapOr("");
  t.match(await store.renewLease(other), { value: true });
  t.match(await store.renewLease(lost), { value: false });
  t.ok((await store.revokeLease(lost)).isOk);
  t.match(await store.renewLease(other), { value: true });
  const bound = { key: "b", expected: 0, value: "", lease: lost };
  t.match(await store.compareAndSwap(bound), {
    error: { reason: "outdated", applied: "no" },
  });
});
