import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, route, storedConfiguration } from "./fixture.ts";

/** Megabytes that leave the smallest budget: 8. */
const SMALL_MEMORY = 32;
const BODY_LIMIT = 20_000_000;

// Guards against a budget that waits for servers to report their pace.
t.test("the memory is bounded before any server has reported its pace", async (t) => {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1, [route()], BODY_LIMIT));
  const fixture = await Fixture.start({
    store,
    memoryMegabytes: SMALL_MEMORY,
    scheduling: { adaptive: "reported" },
  });
  await fixture.waitUntilReady();
  const call = (bytes: number) =>
    fixture.call("/calls/", { method: "POST", body: "x".repeat(bytes) });
  const refused = await call(10_000_000);
  t.equal(refused.status, 503);
  t.match(refused.body, "memory");
  t.equal((await call(2000)).status, 200);
  await fixture.stop();
});
