import { setTimeout } from "node:timers/promises";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, storedConfiguration, storedServer } from "./fixture.ts";
import { stopAll } from "./entry_group.ts";
import { StoreView } from "./store_view.ts";

const COLD_PER_SECOND = 6;
/** Requests accepted in a second by the bounds of the fixture. */
const ACCEPTED = COLD_PER_SECOND * 1.5 + 5;
const SECOND = 1000;

function configuration(): string {
  const stored = JSON.parse(storedConfiguration(1));
  stored.services.calls.coldPerSecond = COLD_PER_SECOND;
  return JSON.stringify(stored);
}

/** Records when requests arrive at each server. */
function recordArrivals({ servers }: Fixture): number[][] {
  return servers.map((server) => {
    const arrivals: number[] = [];
    const { respond } = server;
    server.respond = (...received) => {
      arrivals.push(performance.now());
      respond(...received);
    };
    return arrivals;
  });
}

function mostInSecond(arrivals: readonly number[]): number {
  const counts = arrivals.map((from) =>
    arrivals.filter((at) => at >= from && at < from + SECOND).length
  );
  return Math.max(0, ...counts);
}

async function sendBurst(
  entries: readonly Fixture[],
  duration: number,
): Promise<void> {
  const end = performance.now() + duration;
  const calls: Promise<unknown>[] = [];
  while (performance.now() < end) {
    for (const entry of entries) calls.push(entry.call("/calls/"));
    await setTimeout(20);
  }
  await Promise.allSettled(calls);
}

/** Starts entries, which can't reach each other if they are divided. */
async function start(size: number, divided: boolean) {
  const store = new MemoryMetadataStore();
  store.put("configuration", configuration());
  const entries: Fixture[] = [];
  for (let number = 1; number <= size; number++) {
    const storeView = new StoreView(store);
    storeView.registersClosedPort = divided;
    const shared = entries[0] && { servers: entries[0].servers };
    const instance = `entry-${number}`;
    entries.push(
      await Fixture.start({ store, storeView, instance, ...shared }),
    );
  }
  for (const entry of entries) await entry.waitUntilReady();
  for (const [index, { port }] of entries[0]!.servers.entries()) {
    const record = JSON.parse(storedServer(`s${index}`, port));
    const cold = { ...record, coldFor: 60_000 };
    store.put(`servers/s${index}`, JSON.stringify(cold));
  }
  await setTimeout(500);
  return entries;
}

for (const divided of [false, true]) {
  const name = divided ? "that can't reach each other" : "of one group";
  t.test(`entries ${name} send a cold server no more than it accepts`, async (t) => {
    // Guards against counting the requests of each entry on its own.
    const entries = await start(3, divided);
    const arrivals = recordArrivals(entries[0]!);
    await sendBurst(entries, 3 * SECOND);
    for (const most of arrivals.map(mostInSecond)) {
      t.ok(most <= ACCEPTED, `${most} in a second, ${ACCEPTED} are accepted`);
    }
    t.ok(arrivals.flat().length > 0, "requests are sent");
    await stopAll(entries);
  });
}

t.test("a lost granting entry does not let a cold server get more", async (t) => {
  // Guards against a successor that counts from zero.
  const entries = await start(3, false);
  const arrivals = recordArrivals(entries[0]!);
  const burst = sendBurst(entries.slice(1), 3 * SECOND);
  await setTimeout(SECOND);
  await entries[0]!.gateway.stop();
  await burst;
  for (const most of arrivals.map(mostInSecond)) {
    t.ok(most <= ACCEPTED, `${most} in a second, ${ACCEPTED} are accepted`);
  }
  await stopAll(entries);
});
