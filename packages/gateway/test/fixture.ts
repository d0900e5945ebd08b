import { request as httpRequest } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import type {
  Route,
  SchedulingOptions,
  ServerRecord,
} from "@sycamorepulley/decisions";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import type { MetadataStore } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import { Gateway, RecordCodec } from "../src/mod.ts";
import type {
  GatewayConfiguration,
  GatewayPorts,
  HeaderNames,
  RolloutStatus,
  StoredRollout,
} from "../src/mod.ts";
import { RecordingSink } from "./recording_sink.ts";
import type { LoggedEvent } from "./recording_sink.ts";
import { FakeBackendServer } from "./fake_backend_server.ts";

const NAMES: HeaderNames = {
  requestId: "X-Request",
  credential: "X-Credential",
  organisation: "X-Organisation",
  remainingTime: "X-Time-Left",
  expectedServer: "X-Expected-Server",
  notRun: "X-Not-Run",
  serverLimit: "X-Server-Limit",
  serverLoad: "X-Server-Load",
  serverLeaving: "X-Server-Leaving",
  seal: "X-Seal",
  tokenUsage: "X-Tokens",
  model: "X-Model",
  promptParts: "X-Prompt",
  expectedOutputTokens: "X-Expected-Tokens",
  lastEventId: "Last-Event-Id",
  reserved: ["X-Hold"],
};

class JsonRecordCodec extends RecordCodec {
  override readonly operatorPrefix = "configuration";
  override readonly configurationKey = "configuration";
  override readonly evacuationPrefix = "configuration/evacuated/";
  override readonly rolloutPrefix = "configuration/rollouts/";
  override readonly rolloutStatusPrefix = "rollouts/";
  override readonly serverPrefix = "servers/";

  override decodeConfiguration(
    value: string,
  ): Result<GatewayConfiguration, string> {
    const parsed = JSON.parse(value);
    const services = new Map(Object.entries(parsed.services));
    return Result.ok({ ...parsed, services } as GatewayConfiguration);
  }

  override decodeServer(_id: string, value: string): ServerRecord | undefined {
    return value === "" ? undefined : JSON.parse(value);
  }

  override decodeRollout(value: string): Result<StoredRollout, string> {
    return value.startsWith("{")
      ? Result.ok(JSON.parse(value) as StoredRollout)
      : Result.err("no object");
  }

  override decodeRolloutStatus(value: string): RolloutStatus | undefined {
    return JSON.parse(value) as RolloutStatus;
  }

  override encodeRolloutStatus(status: RolloutStatus): string {
    return JSON.stringify(status);
  }
}

/** A route with defaults for tests. */
export function route(changes: Partial<Route> = {}): Route {
  return {
    name: "calls",
    host: "a.example",
    prefix: "/calls/",
    repeatability: "idempotent",
    targets: [{ service: "calls", weight: 1 }],
    timeout: 2000,
    latencyGoal: 500,
    tierRank: 0,
    maximumServers: 2,
    allowsAnonymous: false,
    resumable: false,
    pauseGoal: undefined,
    ...changes,
  };
}

const ROUTES: Route[] = [
  route(),
  route({ name: "once", prefix: "/once/", repeatability: "non_idempotent" }),
  route({ name: "stream", prefix: "/stream/", repeatability: "streaming" }),
  route({
    name: "resumed",
    prefix: "/resumed/",
    repeatability: "streaming",
    resumable: true,
    pauseGoal: 150,
  }),
];

/** The test configuration, as stored. */
export function storedConfiguration(
  version: number,
  routes = ROUTES,
  bodyBytes = 1000,
): string {
  return JSON.stringify({
    version,
    routes,
    services: { calls: { connections: 100, tokensPerEvent: 1 } },
    limits: {
      headerBytes: 16_384,
      bodyBytes,
      headerTimeout: 3000,
      idleTimeout: 10_000,
    },
    organisations: [{
      name: "firm",
      credentials: ["key"],
      plainTokens: 1,
      countsTokens: true,
      quota: { ratePerSecond: 1000, burst: 1000 },
    }],
  });
}

/** A response as the caller gets it; `complete` is false if it was cut off. */
export type CallerResponse = {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  complete: boolean;
};

/** Two or more backend servers. */
export type FakeBackendServers = [
  FakeBackendServer,
  FakeBackendServer,
  ...FakeBackendServer[],
];

/** One gateway with its store and its backend servers. */
export class Fixture {
  readonly store: MemoryMetadataStore;
  readonly servers: FakeBackendServers;
  readonly gateway: Gateway;
  readonly ports: GatewayPorts;
  /** What the gateway logged. */
  readonly events: readonly LoggedEvent[];

  private constructor(
    store: MemoryMetadataStore,
    servers: FakeBackendServers,
    gateway: Gateway,
    ports: GatewayPorts,
    events: readonly LoggedEvent[],
  ) {
    this.store = store;
    this.servers = servers;
    this.gateway = gateway;
    this.ports = ports;
    this.events = events;
  }

  static async start(
    options: {
      store?: MemoryMetadataStore;
      /** The gateway's access to the store, if restricted. */
      storeView?: MetadataStore;
      /** Seconds over which quotas are counted. */
      quotaWindow?: number;
      servers?: FakeBackendServers;
      instance?: string;
      seeds?: { host: string; port: number }[];
      scheduling?: SchedulingOptions;
      memoryMegabytes?: number;
      relayedServers?: boolean;
    } = {},
  ): Promise<Fixture> {
    const store = options.store ?? new MemoryMetadataStore();
    const servers = options.servers ?? await startServers(store);
    const anyPort = { host: "127.0.0.1", port: 0 };
    const sink = new RecordingSink();
    const gateway = new Gateway({
      settings: {
        instance: options.instance ?? "entry-1",
        dataCentre: "a",
        regions: { a: "north", b: "south" },
        processorShare: 1,
        processors: 1,
        front: anyPort,
        readiness: anyPort,
        peers: anyPort,
        metrics: anyPort,
        seeds: options.seeds ?? [],
        relayedServers: options.relayedServers ?? false,
        scheduling: options.scheduling ?? { adaptive: "off" },
        ...(options.memoryMegabytes !== undefined &&
          { memoryMegabytes: options.memoryMegabytes }),
        bounds: {
          gracePeriodSeconds: 2,
          drainTime: 2000,
          exposedShare: 0.1,
          exposedSlack: 20,
          rollbackTime: 2000,
          coldOverage: 1.5,
          coldSlack: 5,
          retryRatio: 0.2,
          retrySlack: 50,
          retryWindowSeconds: 10,
          quotaWindowSeconds: options.quotaWindow ?? 8,
          quotaOverage: 0.1,
          quotaSlack: 100,
        },
      },
      store: options.storeView ?? store,
      codec: new JsonRecordCodec(),
      headerNames: NAMES,
      sink,
    });
    const ports = await gateway.start();
    return new Fixture(store, servers, gateway, ports, sink.events);
  }

  /** Starts with a configuration and waits until the gateway is ready. */
  static async startReady(): Promise<Fixture> {
    const store = new MemoryMetadataStore();
    store.put("configuration", storedConfiguration(1));
    const fixture = await Fixture.start({ store });
    await fixture.waitUntilReady();
    return fixture;
  }

  /** Starts an entry that can't reach the store and has `first` as its seed. */
  static async startWithoutStore(first: Fixture): Promise<Fixture> {
    const store = new MemoryMetadataStore();
    store.outage = true;
    return await Fixture.start({
      store,
      servers: first.servers,
      instance: "entry-2",
      seeds: [{ host: "127.0.0.1", port: first.ports.peers }],
    });
  }

  async waitUntilReady(): Promise<void> {
    for (let count = 0; count < 200; count++) {
      if (await this.readiness() === 200) return;
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    throw new Error("the gateway is not ready");
  }

  async readiness(): Promise<number> {
    const url = `http://127.0.0.1:${this.ports.readiness}/readiness`;
    return (await fetch(url)).status;
  }

  /** Sends one request on a connection of its own. */
  call(
    path: string,
    options: {
      method?: string;
      body?: string;
      headers?: Record<string, string>;
      signal?: AbortSignal;
    } = {},
  ): Promise<CallerResponse> {
    return new Promise((resolve, reject) => {
      let hasStarted = false;
      let wasReset = false;
      const request = httpRequest({
        host: "127.0.0.1",
        port: this.ports.front,
        method: options.method ?? "GET",
        path,
        agent: false,
        ...(options.signal === undefined ? {} : { signal: options.signal }),
        headers: {
          host: "a.example",
          "x-request": "request-1",
          "x-credential": "key",
          "x-time-left": "1500",
          ...options.headers,
        },
      }, (response) => {
        hasStarted = true;
        let body = "";
        response.on("data", (chunk: Buffer) => body += chunk.toString());
        response.on("error", () => {});
        response.on("close", () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body,
            complete: response.complete && !wasReset,
          }));
      });
      request.on("error", (error) => {
        wasReset = true;
        if (!hasStarted) reject(error);
      });
      request.end(options.body);
    });
  }

  async stop(): Promise<void> {
    await this.gateway.stop();
    for (const server of this.servers) server.stop();
  }
}

/** Starts backend servers and stores their records as `s0`, `s1`, and so on. */
export async function startServers(
  store: MemoryMetadataStore,
  count = 2,
): Promise<FakeBackendServers> {
  const servers: FakeBackendServers = [
    new FakeBackendServer(),
    new FakeBackendServer(),
  ];
  while (servers.length < count) servers.push(new FakeBackendServer());
  for (const [index, server] of servers.entries()) {
    await server.start();
    store.put(`servers/s${index}`, storedServer(`s${index}`, server.port));
  }
  return servers;
}

/** A backend server's record, as stored. */
export function storedServer(
  id: string,
  port: number,
  draining = false,
  startedAt = 1,
): string {
  const record: ServerRecord = {
    id,
    startedAt,
    service: "calls",
    host: "127.0.0.1",
    port,
    dataCentre: "a",
    version: "v1",
    slots: 4,
    draining,
  };
  return JSON.stringify(record);
}

/** Waits for at most three seconds until `check` holds. */
export async function waitUntil(
  check: () => Promise<boolean> | boolean,
): Promise<boolean> {
  for (let count = 0; count < 150; count++) {
    if (await check()) return true;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  return false;
}
