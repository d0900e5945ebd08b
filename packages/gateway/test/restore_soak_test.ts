import { MemoryMetadataStore } from "@sycamorepulley/store";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { FakeBackendServer } from "./fake_backend_server.ts";
import {
  Fixture,
  route,
  startServers,
  storedConfiguration,
  storedServer,
  waitUntil,
} from "./fixture.ts";
import { StoreView } from "./store_view.ts";

/** First and last seed; a long run is `RESTORE_SOAK_SEEDS=1-50`. */
const [FIRST_SEED = 1, LAST_SEED = FIRST_SEED] =
  (process.env["RESTORE_SOAK_SEEDS"] ?? "1").split("-").map(Number);
const ROUNDS = 4;
/** Changes before and after the restore of each round. */
const STEPS = 4;
const ENTRIES = 3;
/** More than the revisions that a round uses after its restore. */
const LOST_WRITES = 100;

type Entry = { fixture: Fixture; view: StoreView };

function sleep(duration: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, duration));
}

/** A group, its store, an operator and servers, whose changes are random. */
class RestoreSoak {
  readonly store = new MemoryMetadataStore();
  readonly #random;
  readonly #entries: Entry[] = [];
  readonly #leaving = new Set<FakeBackendServer>();
  #servers: FakeBackendServer[] = [];
  #backup = this.store.backup();
  #version = 1;
  #started = 0;

  constructor(seed: number) {
    const generator = xoroshiro128plus(seed);
    this.#random = (below: number) => uniformInt(generator, 0, below - 1);
  }

  async start(): Promise<void> {
    this.#servers = await startServers(this.store, 3);
    this.#writeConfiguration();
    for (let index = 0; index < ENTRIES; index++) await this.#startEntry(index);
    await this.settle();
  }

  /** Changes around a restore; they overlap. */
  async round(): Promise<void> {
    this.#backup = this.store.backup();
    for (let count = 0; count < LOST_WRITES; count++) {
      this.store.put("other", "");
    }
    this.#version++;
    this.#writeAgain();
    for (let step = 0; step < STEPS; step++) await this.#step();
    this.#restore();
    for (let step = 0; step < STEPS; step++) await this.#step();
    await this.settle();
  }

  async #step(): Promise<void> {
    const entry = this.#random(ENTRIES);
    switch (this.#random(6)) {
      case 0:
        this.#version++;
        return this.#writeConfiguration();
      case 1:
        return this.#restore();
      case 2:
        await this.#entries[entry]!.fixture.gateway.stop();
        return await this.#startEntry(entry);
      case 3:
        this.#entries[entry]!.view.rejects = true;
        return;
      case 4:
        return this.#leave();
      default:
        await sleep(this.#random(300));
    }
  }

  /** Ends all troubles; the operator and the servers write again. */
  async settle(): Promise<void> {
    for (const { view } of this.#entries) view.rejects = false;
    this.#writeAgain();
    await waitUntil(() => this.#allServe());
  }

  async #allServe(): Promise<boolean> {
    const statuses = await this.statuses();
    return statuses.every((status) => status === 200);
  }

  /** Status of the newest version's route at each entry. */
  async statuses(): Promise<number[]> {
    const responses = await Promise.all(
      this.#entries.map(({ fixture }) =>
        fixture.call(`/version-${this.#version}/`)
      ),
    );
    return responses.map(({ status }) => status);
  }

  /** Number of requests that servers got which have left. */
  requestsToLeaving(): number {
    return [...this.#leaving]
      .reduce((sum, { receivedRequests }) => sum + receivedRequests.length, 0);
  }

  /** Versions that an entry adopted, by its start. */
  adoptedVersions(): Map<string, number[]> {
    const versions = new Map<string, number[]>();
    const events = this.#entries.at(-1)!.fixture.events;
    for (const { message, context } of events) {
      if (message !== "configuration_adopted") continue;
      const instance = String(context["instance"]);
      const adopted = versions.get(instance) ?? [];
      versions.set(instance, [...adopted, Number(context["version"])]);
    }
    return versions;
  }

  async stop(): Promise<void> {
    await Promise.all(
      this.#entries.map(({ fixture }) => fixture.gateway.stop()),
    );
    this.store.outage = true;
    for (const server of this.#servers) server.stop();
  }

  async #startEntry(index: number): Promise<void> {
    const view = new StoreView(this.store);
    const fixture = await Fixture.start({
      store: this.store,
      storeView: view,
      servers: this.#servers as Fixture["servers"],
      instance: `entry-${index}-${++this.#started}`,
    });
    this.#entries[index] = { fixture, view };
  }

  #restore(): void {
    this.store.restore(this.#backup);
    setTimeout(() => this.#writeAgain(), this.#random(400));
  }

  #writeAgain(): void {
    this.#writeConfiguration();
    for (const [index, server] of this.#servers.entries()) {
      const id = `s${index}`;
      if (this.#leaving.has(server)) this.store.remove(`servers/${id}`);
      else this.store.put(`servers/${id}`, storedServer(id, server.port));
    }
  }

  #writeConfiguration(): void {
    const prefix = `/version-${this.#version}/`;
    const routes = [route({ prefix })];
    const value = storedConfiguration(this.#version, routes);
    this.store.put("configuration", value);
  }

  /** A server is taken away, unless it is the last one. */
  #leave(): void {
    const staying = this.#servers.filter((other) => !this.#leaving.has(other));
    if (staying.length < 2) return;
    const server = staying[this.#random(staying.length)]!;
    this.#leaving.add(server);
    this.store.remove(`servers/s${this.#servers.indexOf(server)}`);
  }
}

for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
  t.test(`entries follow a store that is restored again and again, seed ${seed}`, async (t) => {
    const soak = new RestoreSoak(seed);
    await soak.start();
    for (let round = 0; round < ROUNDS; round++) {
      await soak.round();
      t.same(await soak.statuses(), [200, 200, 200], `round ${round}`);
      await sleep(2500);
      const before = soak.requestsToLeaving();
      for (let count = 0; count < 10; count++) await soak.statuses();
      t.equal(soak.requestsToLeaving(), before, `round ${round}`);
    }
    for (const versions of soak.adoptedVersions().values()) {
      const rising = versions.toSorted((one, other) => one - other);
      t.same(versions, rising, "no version is taken back");
    }
    await soak.stop();
  });
}
