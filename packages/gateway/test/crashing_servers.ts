import { setTimeout } from "node:timers/promises";
import type { MemoryMetadataStore } from "@sycamorepulley/store";
import { startGroup } from "./entry_group.ts";
import { writeSealedHead } from "./fake_backend_server.ts";
import type {
  FakeBackendServer,
  ReceivedRequest,
} from "./fake_backend_server.ts";
import { storedServer } from "./fixture.ts";

/** Start of the body of a request that crashes each server that runs it. */
export const CRASHING_BODY = "crash";
/** Id of a part of a prompt under which each server crashes. */
export const CRASHING_PART = "bad0";
/** Milliseconds from the start of the run until the crash. */
const CRASH_DELAY = 20;
/** Milliseconds from the removal of a record until its server crashes. */
const REMOVAL_LEAD = 30;
/** Milliseconds after which a crashed server listens again, by default. */
const RESTART_DELAY = 200;

/**
 * What entries see of a server that has ended until it starts again: its
 * connections break and new ones are refused, they break and new ones are
 * accepted without a response, or nothing at all.
 */
export type CrashShape = "refused" | "accepted" | "silent";

/** How servers crash. */
export type CrashOptions = {
  shape?: CrashShape;
  /** Milliseconds after which a crashed server is back. */
  restartDelay?: number;
  /** Milliseconds after which its record lapses, if before that. */
  lapseDelay?: number;
};

/**
 * Starts three entries of one group, and servers that crash. `runTime`:
 * milliseconds that runs take that crash nothing.
 */
export async function startCrashingGroup(
  serverCount: number,
  runTime = 0,
  options: CrashOptions = {},
): Promise<
  Awaited<ReturnType<typeof startGroup>> & { servers: CrashingServers }
> {
  const { store, entries } = await startGroup(3, serverCount);
  const servers = new CrashingServers(
    store,
    entries[0]!.servers,
    runTime,
    options,
  );
  return { store, entries, servers };
}

/** Lets servers crash under a body; they start again under new records. */
export class CrashingServers {
  /** Number of crashes of all servers together. */
  crashes = 0;
  /** Times at which requests with the crashing part were received. */
  readonly partReceivedAt: number[] = [];
  /** Times of the crashes. */
  readonly crashedAt: number[] = [];
  /** Whether the store removes a server's record just before it crashes. */
  removesRecords = false;
  /** Times at which crashing bodies were received, by body. */
  readonly receivedAt = new Map<string, number[]>();
  readonly #store: MemoryMetadataStore;
  readonly #runTime: number;
  readonly #options: CrashOptions;
  readonly #restarts = new Set<Promise<void>>();
  #stopped = false;

  /** `runTime`: milliseconds that runs take that crash nothing. */
  constructor(
    store: MemoryMetadataStore,
    servers: readonly FakeBackendServer[],
    runTime: number,
    options: CrashOptions = {},
  ) {
    this.#store = store;
    this.#runTime = runTime;
    this.#options = options;
    for (const [index, server] of servers.entries()) {
      this.#prepare(server, `s${index}`);
    }
  }

  /** Waits for servers that start again; later crashes are final. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#restarts);
  }

  #prepare(server: FakeBackendServer, name: string): void {
    let startedAt = 1;
    let id = name;
    let running = true;
    const crash = async () => {
      running = false;
      this.crashes++;
      this.crashedAt.push(performance.now());
      if (this.removesRecords) {
        this.#store.remove(`servers/${id}`);
        await setTimeout(REMOVAL_LEAD);
      }
      await this.#end(server);
      const { restartDelay = RESTART_DELAY, lapseDelay } = this.#options;
      const untilLapse = Math.min(lapseDelay ?? restartDelay, restartDelay);
      await setTimeout(untilLapse);
      if (lapseDelay !== undefined) this.#store.remove(`servers/${id}`);
      await setTimeout(restartDelay - untilLapse);
      if (this.#stopped) return;
      await this.#restart(server);
      running = true;
      this.#store.remove(`servers/${id}`);
      startedAt++;
      id = `${name}-${startedAt}`;
      const record = storedServer(id, server.port, false, startedAt);
      this.#store.put(`servers/${id}`, record);
    };
    server.respond = async (response, received) => {
      const hasPart = hasCrashingPart(received);
      if (hasPart) this.partReceivedAt.push(performance.now());
      const hasBody = received.body.startsWith(CRASHING_BODY);
      if (hasBody) this.#recordReceived(received.body);
      const crashes = hasPart || hasBody;
      await setTimeout(crashes ? CRASH_DELAY : this.#runTime);
      if (!crashes) writeSealedHead(response, received).end("ok");
      else if (running) this.#track(crash());
    };
  }

  async #end(server: FakeBackendServer): Promise<void> {
    const { shape = "refused" } = this.#options;
    if (shape === "refused") await server.crash();
    else server.fallSilent({ breaksConnections: shape === "accepted" });
  }

  async #restart(server: FakeBackendServer): Promise<void> {
    const { shape = "refused" } = this.#options;
    if (shape === "refused") await server.start();
    else server.startAnew();
  }

  #recordReceived(body: string): void {
    const times = this.receivedAt.get(body) ?? [];
    times.push(performance.now());
    this.receivedAt.set(body, times);
  }

  #track(restart: Promise<void>): void {
    this.#restarts.add(restart);
    void restart.finally(() => this.#restarts.delete(restart));
  }
}

function hasCrashingPart({ headers }: ReceivedRequest): boolean {
  const parts = String(headers["x-prompt"] ?? "").split(",");
  return parts.some((part) => part.startsWith(`${CRASHING_PART}:`));
}
