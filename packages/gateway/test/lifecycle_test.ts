import { MemoryMetadataStore } from "@sycamorepulley/store";
import type { WatchPrefixOptions } from "@sycamorepulley/store";
import t from "tap";
import { Result } from "true-myth/result";
import {
  Fixture,
  route,
  storedConfiguration,
  storedServer,
  waitUntil,
} from "./fixture.ts";

t.test("without a configuration callers get 503 with Retry-After", async (t) => {
  const fixture = await Fixture.start();
  t.equal(await fixture.readiness(), 503);
  const response = await fixture.call("/calls/");
  t.equal(response.status, 503);
  t.ok(Number(response.headers["retry-after"]) > 0);
  fixture.store.put("configuration", storedConfiguration(1));
  t.ok(await waitUntil(async () => await fixture.readiness() === 200));
  t.equal((await fixture.call("/calls/")).status, 200);
  await fixture.stop();
});

t.test("a request that arrives while an entry starts is held", async (t) => {
  // Guards against refusing callers, which have one retry, during the start.
  const fixture = await Fixture.start();
  const response = fixture.call("/calls/");
  await new Promise((resolve) => setTimeout(resolve, 200));
  fixture.store.put("configuration", storedConfiguration(1));
  t.equal((await response).status, 200);
  await fixture.stop();
});

t.test("a reload applies changed bounds and ignores an unreadable file", async (t) => {
  // Guards against bounds that stay in force although "reloaded" was logged.
  const fixture = await Fixture.startReady();
  const { gateway } = fixture;
  const { settings } = gateway;
  gateway.reload(Result.err("line 3: InvalidSymbol"));
  t.equal(gateway.settings, settings);
  const bounds = { ...settings.bounds, quotaOverage: 0, quotaSlack: 0 };
  gateway.reload(Result.ok({ ...settings, instance: "other", bounds }));
  t.same(gateway.settings, { ...settings, bounds });
  const logged = fixture.events.filter(({ message }) => message === "reloaded");
  t.match(logged.map(({ context }) => context), [
    { changed: false, detail: "line 3: InvalidSymbol" },
    { changed: true, detail: "the rest needs a restart" },
  ]);
  await fixture.stop();
});

t.test("a new version takes effect at once, also after a compaction", async (t) => {
  const fixture = await Fixture.startReady();
  const added = route({ name: "added", prefix: "/added/" });
  fixture.store.put("configuration", storedConfiguration(2, [added]));
  t.ok(
    await waitUntil(async () => (await fixture.call("/added/")).status === 200),
  );
  t.equal((await fixture.call("/calls/")).status, 404);
  fixture.store.compact();
  fixture.store.put("configuration", storedConfiguration(3));
  t.ok(
    await waitUntil(async () => (await fixture.call("/calls/")).status === 200),
  );
  await fixture.stop();
});

t.test("a draining server receives no more requests", async (t) => {
  const fixture = await Fixture.startReady();
  const [draining, active] = fixture.servers;
  fixture.store.put("servers/s0", storedServer("s0", draining.port, true));
  await new Promise((resolve) => setTimeout(resolve, 100));
  const before = draining.receivedRequests.length;
  for (let count = 0; count < 6; count++) await fixture.call("/calls/");
  t.equal(draining.receivedRequests.length, before);
  t.equal(active.receivedRequests.length, 6);
  await fixture.stop();
});

t.test("an entry that the store rejects gets the configuration from its peer", async (t) => {
  // Guards against a revoked key that stays valid on one machine.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  await first.waitUntilReady();
  const second = await Fixture.startWithoutStore(first);
  t.ok(await waitUntil(async () => await second.readiness() === 200));
  t.equal((await second.call("/calls/")).status, 200);
  store.put(
    "configuration",
    storedConfiguration(2, [route({ prefix: "/new/" })]),
  );
  t.ok(
    await waitUntil(async () => (await second.call("/new/")).status === 200),
  );
  t.equal((await second.call("/calls/")).status, 404);
  await Promise.all([first.stop(), second.gateway.stop()]);
});

t.test("when the granting entry stops, the others still get grants", async (t) => {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const entries = [];
  const first = await Fixture.start({ store, instance: "entry-1" });
  entries.push(first);
  for (const instance of ["entry-2", "entry-3"]) {
    entries.push(
      await Fixture.start({ store, instance, servers: first.servers }),
    );
  }
  for (const entry of entries) await entry.waitUntilReady();
  await new Promise((resolve) => setTimeout(resolve, 1200));
  for (const entry of entries) {
    t.equal((await entry.call("/calls/")).status, 200);
  }
  const [stopped, ...rest] = entries;
  await stopped!.gateway.stop();
  for (const entry of rest) {
    t.equal((await entry.call("/calls/")).status, 200);
  }
  await rest[0]!.gateway.stop();
  t.equal((await rest[1]!.call("/calls/")).status, 200);
  await rest[1]!.stop();
});

t.test("draining entries still count in their group", async (t) => {
  // If left out, each of the others uses only a quarter of quotas and slots.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  const entries = [first];
  for (const instance of ["entry-2", "entry-3"]) {
    const { servers } = first;
    entries.push(await Fixture.start({ store, instance, servers }));
  }
  await new Promise((resolve) => setTimeout(resolve, 1200));
  // A process has one log writer: the last sink gets all lines.
  const lines = () => entries.flatMap(({ events }) => events);
  const lastChange = (instance: string) =>
    lines().findLast(({ message, context }) =>
      message === "group_changed" && context["instance"] === instance
    )?.context;
  const names = ["entry-1", "entry-2", "entry-3"];
  const name = names.map(lastChange).find((context) => context)?.["granting"];
  const granting = entries[names.indexOf(String(name))];
  const others = entries.filter((entry) => entry !== granting);
  const before = lines().length;
  const stopped = granting!.gateway.stop();
  await new Promise((resolve) => setTimeout(resolve, 400));
  for (const other of names.filter((other) => other !== name)) {
    t.match(lastChange(other), { size: 3 });
  }
  const grantsAll = () =>
    lines().slice(before).some(({ message, context }) =>
      message === "load" && context["instance"] !== name &&
      context["room"] === 1 && context["quota"] === 1
    );
  t.ok(await waitUntil(grantsAll));
  t.notOk(lines().some(({ message }) => message === "stopped"));
  await stopped;
  for (const entry of others) await entry.gateway.stop();
  for (const server of first.servers) server.stop();
});

t.test("a restarted entry uses its share of the quotas at once", async (t) => {
  // Guards against using a fifth of it while its old registration still counts.
  class StoreWithoutLeases extends MemoryMetadataStore {
    override grantLease(): ReturnType<MemoryMetadataStore["grantLease"]> {
      this.outage = true;
      const refused = super.grantLease();
      this.outage = false;
      return refused;
    }
  }
  const store = new StoreWithoutLeases();
  store.put("configuration", storedConfiguration(1));
  for (const instance of ["entry-1", "entry-2"]) {
    const member = { instance, host: "127.0.0.1", port: 1 };
    store.put(`sycamorepulley/entries/${instance}`, JSON.stringify(member));
  }
  const fixture = await Fixture.start({ store, instance: "entry-1" });
  await waitUntil(() =>
    fixture.events.some(({ message }) => message === "load")
  );
  const load = fixture.events.find(({ message }) => message === "load");
  t.match(load?.context, { room: 0.5, quota: 0.5 });
  await fixture.stop();
});

t.test("an unknown credential gets 503, not 401, while the store is unreachable", async (t) => {
  // Guards against denying a credential that was added in the meantime.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  const { servers } = first;
  const second = await Fixture.start({ store, instance: "entry-2", servers });
  const linked = () =>
    second.events.some(({ context }) =>
      context["dependency"] === "entry entry-2"
    );
  t.ok(await waitUntil(linked));
  const statusOfUnknownCredential = async () => {
    const headers = { "x-credential": "added later" };
    return (await first.call("/calls/", { headers })).status;
  };
  t.equal(await statusOfUnknownCredential(), 401);
  store.outage = true;
  t.ok(await waitUntil(async () => await statusOfUnknownCredential() === 503));
  t.equal((await first.call("/calls/")).status, 200);
  store.outage = false;
  t.ok(await waitUntil(async () => await statusOfUnknownCredential() === 401));
  await Promise.all([first.stop(), second.gateway.stop()]);
});

t.test("after lost connections the first watch only catches up", async (t) => {
  // Guards against a late report that the store has compacted its history.
  const timeouts: number[] = [];
  class SpyStore extends MemoryMetadataStore {
    override watchPrefix(options: WatchPrefixOptions) {
      if (options.prefix === "configuration") timeouts.push(options.wait);
      return super.watchPrefix(options);
    }
  }
  const store = new SpyStore();
  store.put("configuration", storedConfiguration(1));
  const fixture = await Fixture.start({ store });
  await fixture.waitUntilReady();
  await new Promise((resolve) => setTimeout(resolve, 100));
  store.withholdsChanges = true;
  store.put(
    "configuration",
    storedConfiguration(2, [route({ prefix: "/new/" })]),
  );
  store.compact();
  store.withholdsChanges = false;
  const before = timeouts.length;
  store.abortWatches();
  const served = async () => (await fixture.call("/new/")).status === 200;
  t.ok(await waitUntil(served));
  const [first = Infinity] = timeouts.slice(before);
  t.ok(first < 100, `the first watch waits ${first} ms`);
  await fixture.stop();
});
