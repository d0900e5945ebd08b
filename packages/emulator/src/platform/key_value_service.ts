/**
 * The emulated key-value service of docs/platform-protocol.md. `PUT /backup`
 * keeps a copy of the state and `PUT /restore` puts it back, as a service does
 * that loses its newest writes.
 * @module
 */
import { MemoryKeyValueStore } from "@sycamorepulley/store";
import type {
  KeyValueBackup,
  KeyValueEntry,
  PlatformError,
  WatchOutcome,
} from "@sycamorepulley/store";
import { faultsSchema } from "./faults.ts";
import type { Faults } from "./faults.ts";
import { json, parseJson } from "./answers.ts";
import type { Answer, Call } from "./answers.ts";
import { FaultyServer } from "./faulty_server.ts";
import type { StartedServer, StartOptions } from "./faulty_server.ts";

const MAXIMUM_WAIT = 60_000;
const UNCHANGED: WatchOutcome = { changed: false };

/** Starts the service; `close` cuts the connections that are open. */
export function startKeyValueStore(
  options: StartOptions = {},
): Promise<StartedServer> {
  const server = new FaultyServer(faultsSchema);
  const store = new MemoryKeyValueStore();
  serveKeys(server, store);
  serveLeases(server, store);
  steerState(server, store);
  return server.listen(options);
}

function serveKeys(
  server: FaultyServer<Faults>,
  store: MemoryKeyValueStore,
): void {
  server.serve("get", "/keys/:name", (call) => read(store, call));
  server.serve("put", "/keys/:name", (call) => swap(store, call));
}

async function read(store: MemoryKeyValueStore, call: Call): Promise<Answer> {
  const after = call.query.get("after");
  if (after === null) {
    const entry = await store.get(call.name);
    return entryAnswer(200, entry.unwrapOr(undefined));
  }
  const wait = Math.min(MAXIMUM_WAIT, Number(call.query.get("wait") ?? 0));
  const options = { key: call.name, after: Number(after), wait };
  const outcome = (await store.watch(options)).unwrapOr(UNCHANGED);
  return outcome.changed ? entryAnswer(200, outcome.entry) : { status: 304 };
}

async function swap(store: MemoryKeyValueStore, call: Call): Promise<Answer> {
  const expected = /^"(\d+)"$/.exec(call.headers["if-match"] ?? "")?.[1];
  if (expected === undefined) {
    return json(428, { problem: 'send If-Match: "revision"' });
  }
  const lease = call.query.get("lease");
  const outcome = await store.compareAndSwap({
    key: call.name,
    expected: Number(expected),
    value: call.body,
    ...(lease === null ? {} : { lease }),
  });
  return outcome.match({
    Ok: (outcome) =>
      outcome.swapped
        ? { status: 200, headers: { etag: `"${outcome.revision}"` } }
        : entryAnswer(412, outcome.current ?? { value: "", revision: 0 }),
    Err: refusedAnswer,
  });
}

function serveLeases(
  server: FaultyServer<Faults>,
  store: MemoryKeyValueStore,
): void {
  server.serve("post", "/leases", async (call) => {
    const body = parseJson(call.body) as { duration?: unknown } | undefined;
    const duration = Number(body?.duration);
    if (!(duration > 0)) {
      return json(400, { problem: "send the duration in milliseconds" });
    }
    const lease = await store.grantLease(duration);
    return lease.match({
      Ok: (lease) => json(201, { lease }),
      Err: refusedAnswer,
    });
  });
  server.serve("put", "/leases/:name", async (call) => {
    const renewed = (await store.renewLease(call.name)).unwrapOr(false);
    return json(renewed ? 200 : 404, {});
  });
  server.serve("delete", "/leases/:name", async (call) => {
    await store.revokeLease(call.name);
    return { status: 204 };
  });
}

function steerState(
  server: FaultyServer<Faults>,
  store: MemoryKeyValueStore,
): void {
  let backup: KeyValueBackup = store.backup();
  server.steer("put", "/backup", () => {
    backup = store.backup();
    return { status: 204 };
  });
  server.steer("put", "/restore", () => {
    store.restore(backup);
    return { status: 204 };
  });
}

function entryAnswer(status: number, entry: KeyValueEntry | undefined): Answer {
  if (entry === undefined) {
    return json(404, { problem: "no such key" });
  }
  return {
    status,
    headers: {
      etag: `"${entry.revision}"`,
      "content-type": "text/plain; charset=utf-8",
    },
    body: entry.value,
  };
}

function refusedAnswer(error: PlatformError): Answer {
  const status = error.reason === "too_large" ? 413 : 409;
  return json(status, { problem: error.detail });
}
