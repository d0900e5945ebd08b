import {
  FaultyKeyValueStore,
  MemoryKeyValueStore,
} from "@sycamorepulley/store";
import t from "tap";
import {
  ConfigurationFollower,
  encodeManifest,
  MANIFEST_KEY,
  pollDelay,
  publish,
  watchDuration,
} from "../src/mod.ts";
import { EXAMPLE, NOW, readExample } from "./example.ts";

/** A fleet that polls instead of watching, so that a poll returns at once. */
const LARGE_FLEET = 51;

function createFixture() {
  const memory = new MemoryKeyValueStore();
  const store = new FaultyKeyValueStore(memory);
  const follow = () => {
    const adopted: number[] = [];
    const follower = new ConfigurationFollower({
      store,
      fleetSize: () => LARGE_FLEET,
      random: () => 0,
      onChange: (snapshot) => adopted.push(snapshot.revision),
    });
    return { follower, adopted };
  };
  return { memory, store, follow };
}

function encodedManifest(revision: number): string {
  return encodeManifest({
    history: [{
      revision,
      publishId: `p${revision}`,
      publishedBy: "ana",
      publishedAt: NOW,
      changes: [],
    }],
    source: EXAMPLE,
  });
}

async function storeManifest(store: MemoryKeyValueStore, value: string) {
  const entry = (await store.get(MANIFEST_KEY)).unwrapOr(undefined);
  const expected = entry?.revision ?? 0;
  await store.compareAndSwap({ key: MANIFEST_KEY, expected, value });
}

t.test("adopts each newer configuration once", async (t) => {
  const { memory, follow } = createFixture();
  const { follower, adopted } = follow();
  await follower.poll();
  t.equal(follower.revision, 0);
  await storeManifest(memory, encodedManifest(5));
  await follower.poll();
  await follower.poll();
  await storeManifest(memory, encodedManifest(6));
  await follower.poll();
  t.same(adopted, [5, 6]);
});

// Guards against a process started in an outage refusing callers until its end.
t.test("takes the configuration from a peer during an outage", async (t) => {
  const { store, follow } = createFixture();
  store.outage = true;
  const { follower } = follow();
  await follower.poll();
  t.match(follower.lastError, { reason: "unreachable" });
  t.ok(follower.receiveManifest(encodedManifest(5)));
  t.notOk(follower.receiveManifest(encodedManifest(4)));
  t.notOk(follower.receiveManifest("noise"));
  await follower.poll();
  t.equal(follower.revision, 5);
  t.match(follower.counts, { adopted: 1, malformed: 1, failed: 2 });
});

// Guards against losing an accepted publish when a backup is restored.
t.test("a restored older state is not adopted, and the newer one written back", async (t) => {
  const { memory, follow } = createFixture();
  const { follower, adopted } = follow();
  await storeManifest(memory, encodedManifest(5));
  await follower.poll();
  const backup = memory.backup();
  await storeManifest(memory, encodedManifest(9));
  await follower.poll();
  memory.restore(backup);
  await follower.poll();
  t.same(adopted, [5, 9]);
  t.equal(follower.counts.restored, 1);
  const newProcess = follow();
  await newProcess.follower.poll();
  t.same(newProcess.adopted, [9]);
});

t.test("a publish that gets the revision of a lost one comes into force", async (t) => {
  // Guards against a watch that takes it for the value that was read.
  const { memory, follow } = createFixture();
  const { follower, adopted } = follow();
  const backup = memory.backup();
  await storeManifest(memory, encodedManifest(5));
  await follower.poll();
  memory.restore(backup);
  await storeManifest(memory, encodedManifest(9));
  await follower.poll();
  t.same(adopted, [5, 9]);
});

// Guards against processes rejecting a publish based on a restored older state.
t.test("a publish on a restored state comes into force", async (t) => {
  const { memory, store, follow } = createFixture();
  const { follower, adopted } = follow();
  await storeManifest(memory, encodedManifest(NOW - 2000));
  const backup = memory.backup();
  await storeManifest(memory, encodedManifest(NOW - 1000));
  await follower.poll();
  memory.restore(backup);
  const published = await publish({
    store,
    ...readExample(EXAMPLE.replace("60000", "90000")),
    baseRevision: NOW - 2000,
    publishId: "after",
    now: NOW,
  });
  t.ok(published.isOk);
  await follower.poll();
  t.same(adopted, [NOW - 1000, NOW]);
  t.equal(follower.counts.restored, 0);
});

t.test("a stop does not wait for a running watch", async (t) => {
  const store = new MemoryKeyValueStore();
  store.watch = () => new Promise(() => {});
  const follower = new ConfigurationFollower({
    store,
    fleetSize: () => 1,
    random: () => 0,
  });
  const stop = new AbortController();
  const stopped = follower.run(stop.signal);
  stop.abort();
  await stopped;
  t.equal(follower.revision, 0);
});

t.test("never overwrites a manifest that it can't read", async (t) => {
  const { memory, follow } = createFixture();
  const { follower } = follow();
  await storeManifest(memory, encodedManifest(5));
  await follower.poll();
  await storeManifest(memory, '{"of": "a later release"}');
  await follower.poll();
  await follower.poll();
  t.match(follower.counts, { malformed: 1, restored: 0 });
  t.equal(follower.revision, 5);
});

t.test("a large fleet stays within the budget of polls, and each process polls within 12 s", (t) => {
  const delays = [0, 1].map((random) =>
    pollDelay({ fleetSize: 930, failures: 0, random })
  );
  const [shortest = 0, longest = 0] = delays;
  t.ok(longest < 12_000);
  t.ok(930 / ((shortest + longest) / 2000) <= 160);
  const backoff = pollDelay({ fleetSize: 930, failures: 40, random: 1 });
  t.ok(backoff <= 15_000);
  t.end();
});

t.test("a watch without a response delays a publish by less than 12 s", (t) => {
  // Guards against a call that got no response in an outage hiding a publish.
  const callTimeout = 3000;
  const backoff = pollDelay({ fleetSize: 50, failures: 1, random: 1 });
  const longest = watchDuration(50) + callTimeout + backoff;
  t.ok(longest < 12_000, `${longest} ms`);
  t.end();
});
