import { HttpInstanceList } from "@sycamorepulley/store";
import type { Instance } from "@sycamorepulley/store";
import t from "tap";
import { LaggingInstances } from "../../src/platform/lagging_instances.ts";
import { startInstanceList } from "../../src/platform/mod.ts";

const instance: Instance = {
  name: "entry-1",
  role: "entry",
  host: "127.0.0.1",
  port: 7000,
  dataCentre: "north",
  leaving: false,
  statusPort: 7001,
};

t.test("registers, lists and deregisters over HTTP", async (t) => {
  const server = await startInstanceList();
  const list = new HttpInstanceList({ url: server.url });
  t.teardown(async () => {
    await list.close();
    await server.close();
  });
  t.ok((await list.register(instance)).isOk);
  t.match(await list.list(), { value: [instance] });
  t.ok((await list.deregister(instance.name)).isOk);
  t.match(await list.list(), { value: [] });
});

t.test("new and leaving instances show late", (t) => {
  const instances = new LaggingInstances();
  const seenAt = (now: number) => instances.list({ now, leaveLag: 0 });
  instances.register(instance, { now: 0, lag: 500 });
  t.same(seenAt(499), []);
  t.same(seenAt(500), [instance]);
  const leaving = { ...instance, leaving: true };
  instances.register(leaving, { now: 1000, lag: 2000 });
  t.same(seenAt(2999), [instance]);
  t.same(seenAt(3000), [leaving]);
  instances.deregister(instance.name, { now: 3000, lag: 1000 });
  t.same(seenAt(3999), [leaving]);
  t.same(seenAt(4000), []);
  t.end();
});

t.test("an instance without heartbeat is dropped", (t) => {
  const instances = new LaggingInstances();
  instances.register(instance, { now: 0, lag: 0 });
  instances.register(instance, { now: 9000, lag: 0 });
  t.same(instances.list({ now: 19_000, leaveLag: 0 }), [instance]);
  t.same(instances.list({ now: 19_001, leaveLag: 0 }), []);
  t.end();
});
