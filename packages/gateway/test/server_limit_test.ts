import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, storedConfiguration } from "./fixture.ts";
import { writeSealedHead } from "./fake_backend_server.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";

/** Requests a second that the server states. */
const LIMIT = 4;
/** Milliseconds of a window, and what is accepted in one. */
const WINDOW = 2000;
const ACCEPTED = 1.5 * LIMIT * WINDOW / 1000 + 5;
/** Milliseconds from the first word until it binds. */
const GRACE = 500;

/** Times at which a server that states `limit` was sent requests. */
function limited(server: FakeBackendServer, limit: () => string): number[] {
  const sent: number[] = [];
  server.respond = (response, received) => {
    sent.push(performance.now());
    writeSealedHead(response, received, { "x-server-limit": limit() }).end(
      "ok",
    );
  };
  return sent;
}

function largestWindow(sent: readonly number[]): number {
  const binding = sent.filter((at) => at > sent[0]! + GRACE);
  const inside = binding.map((from) =>
    binding.filter((at) => at >= from && at < from + WINDOW).length
  );
  return Math.max(0, ...inside);
}

async function press(entries: readonly Fixture[], time: number): Promise<void> {
  const end = performance.now() + time;
  while (performance.now() < end) {
    for (const entry of entries) void entry.call("/calls/");
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
}

t.test("a server that states a limit is sent no more by all entries", async (t) => {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store });
  const { servers } = first;
  const second = await Fixture.start({ store, servers, instance: "entry-2" });
  const entries = [first, second];
  for (const entry of entries) await entry.waitUntilReady();
  const sent = servers.map((server) => limited(server, () => String(LIMIT)));
  await press(entries, 2 * WINDOW + GRACE);
  for (const most of sent.map(largestWindow)) {
    t.ok(most <= ACCEPTED, `${most} requests, ${ACCEPTED} are accepted`);
    t.ok(most > LIMIT, `${most} requests`);
  }
  const lines = second.events
    .filter(({ context }) => context["limit"] !== undefined);
  t.ok(lines.length > 0);
  for (const { message, context } of lines) {
    t.equal(message, "granted");
    t.equal(context["limit"], LIMIT);
    t.match(context["limitBy"], /^entry-[12]$/);
    t.ok(Number(context["limitAge"]) >= 0);
  }
  await second.gateway.stop();
  await first.stop();
});

t.test("a limit holds when the entry that grants is lost", async (t) => {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store });
  const { servers } = first;
  const entries = [first];
  for (const instance of ["entry-2", "entry-3"]) {
    entries.push(await Fixture.start({ store, servers, instance }));
  }
  for (const entry of entries) await entry.waitUntilReady();
  const sent = servers.map((server) => limited(server, () => String(LIMIT)));
  await press(entries, WINDOW);
  const last = entries.at(-1)!.events
    .findLast(({ message }) => message === "group_changed");
  const names = ["entry-1", "entry-2", "entry-3"];
  const lost = names.indexOf(String(last?.context["granting"]));
  const [granting] = entries.splice(lost, 1);
  const stopping = granting!.gateway.stop();
  await press(entries, WINDOW);
  for (const most of sent.map(largestWindow)) {
    t.ok(most <= ACCEPTED, `${most} requests, ${ACCEPTED} are accepted`);
    t.ok(most > LIMIT, `${most} requests`);
  }
  await stopping;
  await Promise.all(entries.map(({ gateway }) => gateway.stop()));
  for (const server of servers) server.stop();
});
