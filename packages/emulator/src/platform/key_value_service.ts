/**
 * The emulated key-value service of docs/platform-protocol.md. `PUT /backup`
 * saves a copy of the state and `PUT /restore` restores it, which emulates a
 * service that loses its latest writes and begins an era.
 * @module
 */
import { MemoryKeyValueStore } from "@sycamorepulley/store";
import type {
  KeyValueBackup,
  KeyValueEntry,
  PlatformError,
  WatchOutcome,
} from "@sycamorepulley/store";
import { platformFaultsSchema } from "./platform_faults.ts";
import type { PlatformFaults } from "./platform_faults.ts";
import { jsonResponse, parseJson } from "./service_calls.ts";
import type { ServiceCall, ServiceResponse } from "./service_calls.ts";
import { FaultInjectingServer } from "./fault_injecting_server.ts";
import type { StartedService, StartOptions } from "./fault_injecting_server.ts";

/** Longest wait of a watch, in milliseconds. */
const MAXIMUM_WAIT = 60_000;
const UNCHANGED: WatchOutcome = { changed: false };

/** Starts the service; its `close` also closes open connections. */
export function startKeyValueStore(
  options: StartOptions = {},
): Promise<StartedService> {
  const store = new MemoryKeyValueStore();
  const server = new FaultInjectingServer(
    platformFaultsSchema,
    () => ({ "store-era": String(store.era) }),
  );
  addKeyRoutes(server, store);
  addLeaseRoutes(server, store);
  addBackupRoutes(server, store);
  return server.listen(options);
}

function addKeyRoutes(
  server: FaultInjectingServer<PlatformFaults>,
  store: MemoryKeyValueStore,
): void {
  server.addServiceRoute(
    "get",
    "/keys/:name",
    (call) => handleRead(store, call),
  );
  server.addServiceRoute(
    "put",
    "/keys/:name",
    (call) => handleCompareAndSwap(store, call),
  );
}

async function handleRead(
  store: MemoryKeyValueStore,
  call: ServiceCall,
): Promise<ServiceResponse> {
  const after = call.query.get("after");
  if (after === null) {
    const entry = await store.get(call.name);
    return entryResponse(200, entry.unwrapOr(undefined));
  }
  const wait = Math.min(MAXIMUM_WAIT, Number(call.query.get("wait") ?? 0));
  const options = { key: call.name, after: Number(after), wait };
  const outcome = (await store.watch(options)).unwrapOr(UNCHANGED);
  return outcome.changed ? entryResponse(200, outcome.entry) : { status: 304 };
}

async function handleCompareAndSwap(
  store: MemoryKeyValueStore,
  call: ServiceCall,
): Promise<ServiceResponse> {
  const expected = /^"(\d+)"$/.exec(call.headers["if-match"] ?? "")?.[1];
  if (expected === undefined) {
    return jsonResponse(428, {
      problem: 'header If-Match: "<revision>" is required',
    });
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
        : entryResponse(412, outcome.current ?? { value: "", revision: 0 }),
    Err: errorResponse,
  });
}

function addLeaseRoutes(
  server: FaultInjectingServer<PlatformFaults>,
  store: MemoryKeyValueStore,
): void {
  server.addServiceRoute("post", "/leases", async (call) => {
    const body = parseJson(call.body) as { duration?: unknown } | undefined;
    const duration = Number(body?.duration);
    if (!(duration > 0)) {
      return jsonResponse(400, {
        problem: "duration must be a positive number of milliseconds",
      });
    }
    const lease = await store.grantLease(duration);
    return lease.match({
      Ok: (lease) => jsonResponse(201, { lease }),
      Err: errorResponse,
    });
  });
  server.addServiceRoute("put", "/leases/:name", async (call) => {
    const renewed = (await store.renewLease(call.name)).unwrapOr(false);
    return jsonResponse(renewed ? 200 : 404, {});
  });
  server.addServiceRoute("delete", "/leases/:name", async (call) => {
    await store.revokeLease(call.name);
    return { status: 204 };
  });
}

function addBackupRoutes(
  server: FaultInjectingServer<PlatformFaults>,
  store: MemoryKeyValueStore,
): void {
  let backup: KeyValueBackup = store.backup();
  server.addControlRoute("put", "/backup", () => {
    backup = store.backup();
    return { status: 204 };
  });
  server.addControlRoute("put", "/restore", () => {
    store.restore(backup);
    return { status: 204 };
  });
}

function entryResponse(
  status: number,
  entry: KeyValueEntry | undefined,
): ServiceResponse {
  if (entry === undefined) {
    return jsonResponse(404, { problem: "key not found" });
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

function errorResponse(error: PlatformError): ServiceResponse {
  const status = error.reason === "too_large" ? 413 : 409;
  return jsonResponse(status, { problem: error.detail });
}
