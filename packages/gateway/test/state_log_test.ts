import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, storedConfiguration, waitUntil } from "./fixture.ts";

t.test("a grant's log line names the charged organisation and the charge", async (t) => {
  const fixture = await Fixture.startReady();
  await fixture.call("/calls/", { headers: { "x-tokens": "90,10" } });
  const line = fixture.events.find(({ message }) => message === "granted");
  t.match(line?.context, { organisation: "firm", charge: 100 });
  await fixture.stop();
});

t.test("log lines report failed store calls and state that was requested", async (t) => {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  await first.waitUntilReady();
  const second = await Fixture.startWithoutStore(first);
  t.ok(await waitUntil(async () => await second.readiness() === 200));
  const lines = (name: string) =>
    second.events.filter(({ message }) => message === name)
      .map(({ context }) => context);
  const failed = lines("store_call_failed")
    .find(({ prefix }) => prefix === "configuration");
  t.match(failed, { step: "read page", reason: "unreachable", time: Number });
  const requested = lines("state_requested")
    .find(({ state }) => state === "configuration");
  t.match(requested, { from: "entry-1" });
  t.ok(lines("state_sent").some(({ size }) => Number(size) > 100));
  await Promise.all([first.stop(), second.gateway.stop()]);
});
