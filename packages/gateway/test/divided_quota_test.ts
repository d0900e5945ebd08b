import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, storedConfiguration, waitUntil } from "./fixture.ts";
import { writeSealedHead } from "./fake_backend_server.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";
import { StoreView } from "./store_view.ts";

/** Quota window in seconds. */
const WINDOW = 2;
/**
 * Tokens accepted in a window by the fixture's quota of 1000 a second, its
 * burst of 1000 and its bounds.
 */
const ACCEPTED = (WINDOW * 1000 + 1000) * 1.1 + 100;
/** Tokens charged for one request. */
const TOKENS = 100;

/** Returns a list that collects the times at which requests run. */
function runsOf(servers: readonly FakeBackendServer[]): number[] {
  const runs: number[] = [];
  for (const server of servers) {
    server.respond = (response, received) => {
      runs.push(performance.now());
      writeSealedHead(response, received).end("ok");
    };
  }
  return runs;
}

/** Returns the largest number of tokens in any window. */
function largestWindow(runs: readonly number[]): number {
  const inside = runs.map((from) =>
    runs.filter((at) => at >= from && at < from + WINDOW * 1000).length
  );
  return Math.max(...inside) * TOKENS;
}

/** Sends far more requests than the quota allows until the given time. */
async function sendExcess(entry: Fixture, until: number): Promise<void> {
  while (performance.now() < until) {
    const headers = { "x-tokens": `${TOKENS - 10},10` };
    void entry.call("/calls/", { headers });
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

t.test("an entry that starts while the granting entry is unregistered adds no quota", async (t) => {
  // Guards against counting shares twice while only some entries are linked.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const views = new Map<string, StoreView>();
  const start = (instance: string, servers?: Fixture["servers"]) => {
    const storeView = new StoreView(store);
    views.set(instance, storeView);
    const shared = servers === undefined ? {} : { servers };
    const quotaWindow = WINDOW;
    return Fixture.start({
      store,
      storeView,
      instance,
      quotaWindow,
      ...shared,
    });
  };
  const first = await start("entry-1");
  const { servers } = first;
  const entries = [first];
  for (const instance of ["entry-2", "entry-3"]) {
    entries.push(await start(instance, servers));
  }
  const groupChanges = () =>
    entries.at(-1)!.events.filter(({ message }) => message === "group_changed");
  t.ok(await waitUntil(() => groupChanges().length > 0));
  await new Promise((resolve) => setTimeout(resolve, 800));
  const granting = String(groupChanges().at(-1)?.context["granting"]);
  views.get(granting)!.rejects = true;
  store.remove(`sycamorepulley/entries/${granting}`);
  await new Promise((resolve) => setTimeout(resolve, 200));
  entries.push(await start("entry-4", servers));
  await entries.at(-1)!.waitUntilReady();
  const runs = runsOf(servers);
  const end = performance.now() + 2 * WINDOW * 1000;
  await Promise.all(entries.map((entry) => sendExcess(entry, end)));
  const most = largestWindow(runs);
  t.ok(most <= ACCEPTED, `${most} tokens, ${ACCEPTED} are accepted`);
  t.ok(most > ACCEPTED * 0.75, `${most} tokens, ${ACCEPTED} are accepted`);
  await Promise.all(entries.map(({ gateway }) => gateway.stop()));
  for (const server of servers) server.stop();
});
