import { setTimeout } from "node:timers/promises";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, storedConfiguration, waitUntil } from "./fixture.ts";
import { writeSealedHead } from "./fake_backend_server.ts";
import type {
  FakeBackendServer,
  ReceivedRequest,
} from "./fake_backend_server.ts";

/** Seconds for which the servers want no requests. */
const REST = 1.5;
/** Requests of one entry that may reach a server while it rests from it. */
const ACCEPTED = 2;
/** Milliseconds of a rest after which it has to be kept. */
const GRACE = 500;

type Arrival = { entry: string; at: number };

/**
 * Lets a server turn all requests away and want rest; returns the arrivals, by
 * the entry that sent them.
 */
function turnAway(server: FakeBackendServer, retryAfter = REST): Arrival[] {
  const arrivals: Arrival[] = [];
  server.respond = (response, received) => {
    arrivals.push({ entry: entryOf(received), at: performance.now() });
    response.writeHead(503, {
      "x-not-run": "1",
      "retry-after": String(retryAfter),
    }).end();
  };
  return arrivals;
}

function entryOf({ headers }: ReceivedRequest): string {
  return String(headers["x-entry"]);
}

function call(entry: Fixture, name: string) {
  return entry.call("/calls/", { headers: { "x-entry": name } });
}

/** Most arrivals from one entry between the grace time and the rest's end. */
function arrivalsInRest(arrivals: readonly Arrival[]): number {
  const counts = arrivals.map(({ entry, at }) =>
    arrivals.filter((other) =>
      other.entry === entry && other.at > at + GRACE &&
      other.at < at + REST * 1000
    ).length
  );
  return Math.max(0, ...counts);
}

async function startGroup(
  size: number,
): Promise<{ entries: Fixture[]; granting: number }> {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store });
  const entries = [first];
  for (let number = 2; number <= size; number++) {
    const instance = `entry-${number}`;
    const { servers } = first;
    entries.push(await Fixture.start({ store, servers, instance }));
  }
  for (const entry of entries) await entry.waitUntilReady();
  // A process has one log, so the newest entry's sink gets all lines.
  const loadOfAll = () =>
    entries.at(-1)!.events.findLast(({ message, context }) =>
      message === "load" && context["room"] === 1 && context["fleet"] === size
    );
  await waitUntil(() => loadOfAll() !== undefined);
  const name = String(loadOfAll()?.context["instance"]);
  return { entries, granting: Number(name.replace("entry-", "")) - 1 };
}

async function stopAll(entries: readonly Fixture[]): Promise<void> {
  await Promise.all(entries.map(({ gateway }) => gateway.stop()));
  for (const server of entries[0]!.servers) server.stop();
}

/** Sends requests through each entry for `time` milliseconds. */
async function sendFor(
  entries: readonly Fixture[],
  time: number,
): Promise<number[]> {
  const statuses: Promise<number>[] = [];
  const end = performance.now() + time;
  while (performance.now() < end) {
    for (const [index, entry] of entries.entries()) {
      const response = call(entry, `entry-${index + 1}`);
      statuses.push(response.then(({ status }) => status));
    }
    await setTimeout(20);
  }
  return await Promise.all(statuses);
}

t.test("a server that wants rest from an entry gets nothing more from it until the end", async (t) => {
  // Guards against repeats that pile up at the servers that turn them away.
  const { entries } = await startGroup(3);
  const [server] = entries[0]!.servers;
  const arrivals = turnAway(server);
  const statuses = await sendFor(entries, 2 * REST * 1000);
  const most = arrivalsInRest(arrivals);
  t.ok(arrivals.length > 0);
  t.ok(most <= ACCEPTED, `${most} requests in ${REST} s of rest`);
  const served = statuses.filter((status) => status === 200).length;
  t.ok(served >= statuses.length * 0.95, `${served} of ${statuses.length}`);
  await stopAll(entries);
});

t.test("what a server wants of one entry is not asked of the others", async (t) => {
  const { entries, granting } = await startGroup(2);
  const [server, other] = entries[0]!.servers;
  const arrivals: string[] = [];
  for (const each of [server, other]) {
    each.respond = (response, received) => {
      const entry = entryOf(received);
      if (each === server) arrivals.push(entry);
      if (entry !== "resting") {
        writeSealedHead(response, received).end("ok");
        return;
      }
      response.writeHead(503, {
        "x-not-run": "1",
        "retry-after": String(REST),
      }).end();
    };
  }
  const resting = entries[1 - granting]!;
  for (let count = 0; count < 3; count++) await call(resting, "resting");
  t.ok(arrivals.includes("resting"));
  const before = arrivals.length;
  await setTimeout(300);
  const working = Array.from(
    { length: 12 },
    () => call(entries[granting]!, "working"),
  );
  const responses = await Promise.all(working);
  t.ok(responses.every(({ status }) => status === 200));
  t.ok(arrivals.slice(before).includes("working"));
  t.notOk(arrivals.slice(before).includes("resting"));
  await stopAll(entries);
});

t.test("rest is kept when the granting entry is lost", async (t) => {
  const { entries, granting } = await startGroup(3);
  const [server] = entries[0]!.servers;
  const arrivals = turnAway(server);
  await sendFor(entries, 200);
  const stopping = entries[granting]!.gateway.stop();
  const others = entries.filter((_, index) => index !== granting);
  const names = entries.map((_, index) => `entry-${index + 1}`)
    .filter((_, index) => index !== granting);
  const end = performance.now() + REST * 1000;
  while (performance.now() < end) {
    for (const [index, entry] of others.entries()) {
      void call(entry, names[index]!);
    }
    await setTimeout(20);
  }
  const most = arrivalsInRest(arrivals);
  t.ok(most <= ACCEPTED, `${most} requests in ${REST} s of rest`);
  await stopping;
  await stopAll(others);
});

t.test("a request is refused at once while all servers want longer rest than it can wait", async (t) => {
  const fixture = await Fixture.startReady();
  const all = fixture.servers.map((server) => turnAway(server, 30));
  await call(fixture, "entry-1");
  await call(fixture, "entry-1");
  const before = all.flat().length;
  const startedAt = performance.now();
  const response = await call(fixture, "entry-1");
  t.equal(response.status, 503);
  t.ok(Number(response.headers["retry-after"]) > 0);
  t.ok(performance.now() - startedAt < 200);
  t.equal(all.flat().length, before);
  await fixture.stop();
});

t.test("a server is used again after its rest, and a malformed time means none", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) turnAway(server, 0.3);
  await call(fixture, "entry-1");
  const answer = (server: FakeBackendServer) =>
    server.respond = (response, received) =>
      writeSealedHead(response, received).end("ok");
  fixture.servers.forEach(answer);
  await setTimeout(400);
  t.equal((await call(fixture, "entry-1")).status, 200);
  for (const server of fixture.servers) {
    server.respond = (response) =>
      response.writeHead(503, { "x-not-run": "1", "retry-after": "soon" })
        .end();
  }
  await call(fixture, "entry-1");
  const line = fixture.events
    .find(({ message }) => message === "server_backoff_unreadable");
  t.match(line?.context, { value: "soon" });
  fixture.servers.forEach(answer);
  const recovered = async () => (await call(fixture, "entry-1")).status === 200;
  t.ok(await waitUntil(recovered));
  await fixture.stop();
});
