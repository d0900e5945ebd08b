import { setImmediate as nextTurn } from "node:timers/promises";
import t from "tap";
import { FaultyKeyValueStore, MemoryKeyValueStore } from "../../src/mod.ts";
import { claimIdentity, shardOf } from "../../src/claims/claim_identity.ts";
import { createLedger, createRequest, expectClaimed } from "./fixture.ts";

/** Returns keys whose claims are stored under the same key of the service. */
function keysOfOneShard(count: number): string[] {
  const keys = Array.from({ length: 100 }, (_, index) => `swap-${index}`);
  const shard = (key: string) => shardOf(claimIdentity(createRequest({ key })));
  return keys.filter((key) => shard(key) === shard("swap-0")).slice(0, count);
}

const OUTCOME = {
  status: 201,
  headers: { "content-type": "application/json" },
  body: Buffer.from('{"booked":true}'),
};

t.test("a claim that a restored service has lost is not granted again", async (t) => {
  // Guards against a booking that runs twice.
  const memory = new MemoryKeyValueStore();
  const first = createLedger(memory, "entry-1");
  const second = createLedger(memory, "entry-2");
  const backup = memory.backup();
  const claim = expectClaimed(await first.claim(createRequest()));
  memory.restore(backup);
  await first.waitForDrain();
  t.match(await second.claim(createRequest()), { value: { kind: "running" } });
  t.ok((await first.record({ claim, outcome: OUTCOME })).isOk);
  t.match(await second.claim(createRequest()), { value: { kind: "done" } });
});

t.test("an outcome that a restored service has lost is stored again", async (t) => {
  const memory = new MemoryKeyValueStore();
  const first = createLedger(memory, "entry-1");
  const claim = expectClaimed(await first.claim(createRequest()));
  const backup = memory.backup();
  t.ok((await first.record({ claim, outcome: OUTCOME })).isOk);
  memory.restore(backup);
  await first.waitForDrain();
  const later = createLedger(memory, "entry-2");
  t.match(await later.claim(createRequest()), {
    value: { kind: "done", outcome: OUTCOME },
  });
});

t.test("claims are kept through an outage that ends with a restore", async (t) => {
  // Guards against forgetting a head with the call that fails.
  const memory = new MemoryKeyValueStore();
  const store = new FaultyKeyValueStore(memory);
  const first = createLedger(store, "entry-1");
  const backup = memory.backup();
  expectClaimed(await first.claim(createRequest({ key: "before" })));
  store.outage = true;
  t.ok((await first.claim(createRequest({ key: "during" }))).isErr);
  memory.restore(backup);
  store.outage = false;
  await first.waitForDrain();
  const second = createLedger(memory, "entry-2");
  const again = await second.claim(createRequest({ key: "before" }));
  t.match(again, { value: { kind: "running" } });
});

t.test("lost claims are written again without the backoff of outcomes", async (t) => {
  const memory = new MemoryKeyValueStore();
  const store = new FaultyKeyValueStore(memory);
  const first = createLedger(store, "entry-1", {
    pause: (duration) => duration > 1000 ? new Promise(() => {}) : nextTurn(),
  });
  const backup = memory.backup();
  const claim = expectClaimed(await first.claim(createRequest()));
  store.outage = true;
  void first.record({ claim, outcome: OUTCOME });
  for (let turn = 0; turn < 20; turn++) await nextTurn();
  store.outage = false;
  memory.restore(backup);
  for (let turn = 0; turn < 20; turn++) await nextTurn();
  const second = createLedger(memory, "entry-2");
  const again = await second.claim(createRequest());
  t.not(again.isOk && again.value.kind, "claimed");
});

t.test("lost claims are kept until their write has succeeded", async (t) => {
  // Guards against taking a head that was never stored for the stored one.
  const memory = new MemoryKeyValueStore();
  const store = new FaultyKeyValueStore(memory);
  const first = createLedger(store, "entry-1");
  const backup = memory.backup();
  expectClaimed(await first.claim(createRequest()));
  for (let write = 0; write < 6; write++) {
    store.writeFaults.push("lost_request");
  }
  memory.restore(backup);
  await first.waitForDrain();
  const second = createLedger(memory, "entry-2");
  t.match(await second.claim(createRequest()), { value: { kind: "running" } });
});

t.test("a revision that is given out twice does not replace another's claim", async (t) => {
  const memory = new MemoryKeyValueStore();
  const store = new FaultyKeyValueStore(memory);
  const first = createLedger(store, "entry-1");
  const backup = memory.backup();
  const keys = keysOfOneShard(3);
  const [own, foreign, next] = keys;
  expectClaimed(await first.claim(createRequest({ key: own! })));
  store.outage = true;
  memory.restore(backup);
  const second = createLedger(memory, "entry-2");
  expectClaimed(await second.claim(createRequest({ key: foreign! })));
  store.outage = false;
  expectClaimed(await first.claim(createRequest({ key: next! })));
  await first.waitForDrain();
  const later = createLedger(memory, "entry-3");
  for (const key of keys) {
    const claimed = await later.claim(createRequest({ key }));
    t.match(claimed, { value: { kind: "running" } }, key);
  }
});
