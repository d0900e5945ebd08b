import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, storedConfiguration } from "./fixture.ts";
import { writeSealedHead } from "./fake_backend_server.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";

/** Requests per second that the server states. */
const LIMIT = 4;
/** Window in milliseconds, and the requests accepted in one. */
const WINDOW = 2000;
const ACCEPTED = 1.5 * LIMIT * WINDOW / 1000 + 5;
/** Milliseconds from the first stated limit until it has to be kept. */
const GRACE = 500;

/** Lets a server state `limit`; returns the times at which requests arrive. */
function stateLimit(server: FakeBackendServer, limit: () => string): number[] {
  const sent: number[] = [];
  server.respond = (response, received) => {
    sent.push(performance.now());
    writeSealedHead(response, received, { "x-server-limit": limit() }).end(
      "ok",
    );
  };
  return sent;
}

/** Returns the largest number of requests in a window after the grace time. */
function largestWindow(sent: readonly number[]): number {
  const counted = sent.filter((at) => at > sent[0]! + GRACE);
  const inside = counted.map((from) =>
    counted.filter((at) => at >= from && at < from + WINDOW).length
  );
  return Math.max(0, ...inside);
}

async function sendExcess(
  entries: readonly Fixture[],
  time: number,
): Promise<void> {
  const end = performance.now() + time;
  while (performance.now() < end) {
    for (const entry of entries) void entry.call("/calls/");
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
}

t.test("all entries together keep the limit that a server states", async (t) => {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store });
  const { servers } = first;
  const second = await Fixture.start({ store, servers, instance: "entry-2" });
  const entries = [first, second];
  for (const entry of entries) await entry.waitUntilReady();
  const sent = servers.map((server) => stateLimit(server, () => String(LIMIT)));
  await sendExcess(entries, 2 * WINDOW + GRACE);
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

t.test("a limit is kept when the granting entry is lost", async (t) => {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store });
  const { servers } = first;
  const entries = [first];
  for (const instance of ["entry-2", "entry-3"]) {
    entries.push(await Fixture.start({ store, servers, instance }));
  }
  for (const entry of entries) await entry.waitUntilReady();
  const sent = servers.map((server) => stateLimit(server, () => String(LIMIT)));
  await sendExcess(entries, WINDOW);
  const last = entries.at(-1)!.events
    .findLast(({ message }) => message === "group_changed");
  const names = ["entry-1", "entry-2", "entry-3"];
  const lost = names.indexOf(String(last?.context["granting"]));
  const [granting] = entries.splice(lost, 1);
  const stopping = granting!.gateway.stop();
  await sendExcess(entries, WINDOW);
  for (const most of sent.map(largestWindow)) {
    t.ok(most <= ACCEPTED, `${most} requests, ${ACCEPTED} are accepted`);
    t.ok(most > LIMIT, `${most} requests`);
  }
  await stopping;
  await Promise.all(entries.map(({ gateway }) => gateway.stop()));
  for (const server of servers) server.stop();
});
