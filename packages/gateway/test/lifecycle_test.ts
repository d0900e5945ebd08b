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

t.test("without a configuration callers are told to come back, not denied", async (t) => {
  const fixture = await Fixture.start();
  t.equal(await fixture.readiness(), 503);
  const seen = await fixture.call("/calls/");
  t.equal(seen.status, 503);
  t.ok(Number(seen.headers["retry-after"]) > 0);
  fixture.store.put("configuration", storedConfiguration(1));
  t.ok(await waitUntil(async () => await fixture.readiness() === 200));
  t.equal((await fixture.call("/calls/")).status, 200);
  await fixture.stop();
});

t.test("a request that comes while an entry starts is held for a moment", async (t) => {
  // All entries lost power. Their callers connect as soon as a process listens,
  // a quarter of a second before it has read its configuration; all were refused
  // at once, and each had one retry.
  const fixture = await Fixture.start();
  const seen = fixture.call("/calls/");
  await new Promise((resolve) => setTimeout(resolve, 200));
  fixture.store.put("configuration", storedConfiguration(1));
  t.equal((await seen).status, 200);
  await fixture.stop();
});

t.test("changed bounds are taken over, an unreadable file isn't", async (t) => {
  // Operators change what they accept beyond a quota. Until the process was
  // restarted it went by the old figures, although its log said "reloaded".
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

t.test("a new version is in force at once, through a compaction too", async (t) => {
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

t.test("a draining server gets nothing more", async (t) => {
  const fixture = await Fixture.startReady();
  const [leaving, staying] = fixture.servers;
  fixture.store.put("servers/s0", storedServer("s0", leaving.port, true));
  await new Promise((resolve) => setTimeout(resolve, 100));
  const before = leaving.receivedRequests.length;
  for (let count = 0; count < 6; count++) await fixture.call("/calls/");
  t.equal(leaving.receivedRequests.length, before);
  t.equal(staying.receivedRequests.length, 6);
  await fixture.stop();
});

t.test("an entry that the store turns away learns from its peer", async (t) => {
  // The store answers one machine with errors while it serves the others. A key
  // that is taken away meanwhile must not stay good at that one machine.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  await first.waitUntilReady();
  const second = await Fixture.startTurnedAway(first);
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

t.test("when the granting entry stops, the other grants for itself", async (t) => {
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

t.test("entries that are leaving still count in their group", async (t) => {
  // All entries are restarted in turn, and several are leaving at once for some
  // seconds. Left out of the group, each of the others used a quarter of the
  // quotas and places, and callers within their quota were refused.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  const entries = [first];
  for (const instance of ["entry-2", "entry-3"]) {
    const { servers } = first;
    entries.push(await Fixture.start({ store, instance, servers }));
  }
  await new Promise((resolve) => setTimeout(resolve, 1200));
  // One writer of the log serves a process: the last one got all lines.
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
  const whole = () =>
    lines().slice(before).some(({ message, context }) =>
      message === "load" && context["instance"] !== name &&
      context["room"] === 1 && context["quota"] === 1
    );
  t.ok(await waitUntil(whole));
  t.notOk(lines().some(({ message }) => message === "stopped"));
  await stopped;
  for (const entry of others) await entry.gateway.stop();
  for (const server of first.servers) server.stop();
});

t.test("an entry that starts anew uses its share of the quotas at once", async (t) => {
  // All entries lose power. Each starts while its name is still registered, so
  // that the others count it, and has not registered itself yet. Taken for one
  // that the others had dropped, its group used a fifth of its share of quotas,
  // and 73 requests within their quota were refused in two seconds.
  class NoLeases extends MemoryMetadataStore {
    override grantLease(): ReturnType<MemoryMetadataStore["grantLease"]> {
      this.down = true;
      const refused = super.grantLease();
      this.down = false;
      return refused;
    }
  }
  const store = new NoLeases();
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

t.test("entries that can't reach the store deny nobody what it may allow", async (t) => {
  // A credential added while the store is away is unknown to the whole group.
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
  const denied = async () => {
    const headers = { "x-credential": "added later" };
    return (await first.call("/calls/", { headers })).status;
  };
  t.equal(await denied(), 401);
  store.down = true;
  t.ok(await waitUntil(async () => await denied() === 503));
  t.equal((await first.call("/calls/")).status, 200);
  store.down = false;
  t.ok(await waitUntil(async () => await denied() === 401));
  await Promise.all([first.stop(), second.gateway.stop()]);
});

t.test("after a cut no watch waits before it has caught up", async (t) => {
  // The store forgot its history and told so only at the end of the next watch.
  const waits: number[] = [];
  class Spied extends MemoryMetadataStore {
    override watchPrefix(options: WatchPrefixOptions) {
      if (options.prefix === "configuration") waits.push(options.wait);
      return super.watchPrefix(options);
    }
  }
  const store = new Spied();
  store.put("configuration", storedConfiguration(1));
  const fixture = await Fixture.start({ store });
  await fixture.waitUntilReady();
  await new Promise((resolve) => setTimeout(resolve, 100));
  store.deaf = true;
  store.put(
    "configuration",
    storedConfiguration(2, [route({ prefix: "/new/" })]),
  );
  store.compact();
  store.deaf = false;
  const before = waits.length;
  store.cut();
  const served = async () => (await fixture.call("/new/")).status === 200;
  t.ok(await waitUntil(served));
  const [first = Infinity] = waits.slice(before);
  t.ok(first < 100, `the first watch waits ${first} ms`);
  await fixture.stop();
});
