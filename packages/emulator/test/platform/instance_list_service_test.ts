import { HttpInstanceList } from "@sycamorepulley/store";
import type { Instance } from "@sycamorepulley/store";
import t from "tap";
import { LaggingInstanceList } from "../../src/platform/lagging_instance_list.ts";
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

t.test("new, draining and deregistered instances are listed after the lag", (t) => {
  const instances = new LaggingInstanceList();
  const listAt = (now: number) => instances.list({ now, leaveLag: 0 });
  instances.register(instance, { now: 0, lag: 500 });
  t.same(listAt(499), []);
  t.same(listAt(500), [instance]);
  const draining = { ...instance, leaving: true };
  instances.register(draining, { now: 1000, lag: 2000 });
  t.same(listAt(2999), [instance]);
  t.same(listAt(3000), [draining]);
  instances.deregister(instance.name, { now: 3000, lag: 1000 });
  t.same(listAt(3999), [draining]);
  t.same(listAt(4000), []);
  t.end();
});

t.test("an instance without heartbeats is removed after the timeout", (t) => {
  const instances = new LaggingInstanceList();
  instances.register(instance, { now: 0, lag: 0 });
  instances.register(instance, { now: 9000, lag: 0 });
  t.same(instances.list({ now: 19_000, leaveLag: 0 }), [instance]);
  t.same(instances.list({ now: 19_001, leaveLag: 0 }), []);
  t.end();
});
