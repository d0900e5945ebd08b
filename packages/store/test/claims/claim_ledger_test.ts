import t from "tap";
import {
  FaultyKeyValueStore,
  MAXIMUM_VALUE_BYTES,
  MemoryKeyValueStore,
} from "../../src/mod.ts";
import { createLedger, createRequest, expectClaimed, NOW } from "./fixture.ts";

function createStores() {
  const memory = new MemoryKeyValueStore();
  return { memory, store: new FaultyKeyValueStore(memory) };
}

const outcome = {
  status: 201,
  headers: { "content-type": "application/json" },
  body: Buffer.from('{"swapped":true}'),
};

// A retry through another entry, after a lost response, must not run again.
t.test("a retry gets the recorded response", async (t) => {
  const { store } = createStores();
  const first = createLedger(store, "entry-1");
  const second = createLedger(store, "entry-2");
  const claim = expectClaimed(await first.claim(createRequest()));
  t.match(await second.claim(createRequest()), { value: { kind: "running" } });
  t.ok((await first.record({ claim, outcome })).isOk);
  for (const ledger of [first, second]) {
    t.match(await ledger.claim(createRequest()), {
      value: { kind: "done", outcome },
    });
  }
});

t.test("a key is for one request of one organisation to one service", async (t) => {
  const { store } = createStores();
  const ledger = createLedger(store, "entry-1");
  expectClaimed(await ledger.claim(createRequest()));
  t.match(await ledger.claim(createRequest({ fingerprint: "g" })), {
    value: { kind: "reused" },
  });
  expectClaimed(await ledger.claim(createRequest({ organisation: "guild" })));
  expectClaimed(await ledger.claim(createRequest({ service: "bookings" })));
});

t.test("a key can be claimed again only after a release", async (t) => {
  const { store } = createStores();
  const first = createLedger(store, "entry-1");
  const second = createLedger(store, "entry-2");
  const claim = expectClaimed(await first.claim(createRequest()));
  await first.release(claim);
  const again = expectClaimed(await second.claim(createRequest()));
  await first.release(claim);
  t.match(await first.claim(createRequest()), { value: { kind: "running" } });
  await second.record({ claim: again, outcome: "unknown" });
  await second.release(again);
  t.match(await first.claim(createRequest()), { value: { kind: "unknown" } });
});

// Retries after an entry's crash must neither run nor get "running" for ever.
t.test("a retry gets unknown after a crashed claimant's deadline", async (t) => {
  const { store } = createStores();
  expectClaimed(
    await createLedger(store, "crashed").claim(
      createRequest({ duration: 5000 }),
    ),
  );
  const later = createLedger(store, "entry-2");
  const retry = (now: number) => later.claim(createRequest({ now }));
  t.match(await retry(NOW + 64_000), { value: { kind: "running" } });
  t.match(await retry(NOW + 66_000), { value: { kind: "unknown" } });
});

t.test("a claim succeeds although its writes or their responses are lost", async (t) => {
  for (
    const fault of ["lost_answer", "lost_request", "late_request"] as const
  ) {
    const { store } = createStores();
    store.writeFaults.push(fault, fault);
    const ledger = createLedger(store, "entry-1");
    expectClaimed(await ledger.claim(createRequest()));
    await store.deliverLateWrites();
    t.match(await ledger.claim(createRequest()), {
      value: { kind: "running" },
    });
  }
});

// Callers get "not run", so a claim written late must not block their retries.
t.test("claims fail in an outage, and are released if written late", async (t) => {
  const { store } = createStores();
  const ledger = createLedger(store, "entry-1");
  store.outage = true;
  t.match(await ledger.claim(createRequest()), { error: { applied: "no" } });
  store.outage = false;
  const arrivals = {
    "before the release": async () => {
      await store.deliverLateWrites();
      await ledger.waitForDrain();
    },
    "after the release": async () => {
      await ledger.waitForDrain();
      await store.deliverLateWrites();
    },
  };
  for (const [key, arrive] of Object.entries(arrivals)) {
    store.writeFaults.push(...Array(4).fill("late_request"));
    t.match(await ledger.claim(createRequest({ key })), {
      error: { applied: "unknown" },
    });
    await arrive();
    expectClaimed(
      await createLedger(store, "entry-2").claim(createRequest({ key })),
    );
  }
  t.match(ledger.counts, { failed: 3, claimed: 0 });
});

t.test("an outcome is stored once an outage is over", async (t) => {
  const { store } = createStores();
  const ledger = createLedger(store, "entry-1");
  const claim = expectClaimed(await ledger.claim(createRequest()));
  store.outage = true;
  const recorded = ledger.record({ claim, outcome });
  const refused = await ledger.claim(createRequest({ key: "other" }));
  t.ok(refused.isErr);
  store.outage = false;
  t.ok((await recorded).isOk);
  t.match(await ledger.claim(createRequest()), { value: { kind: "done" } });
});

t.test("a claim that times out fails and is released", async (t) => {
  const { store } = createStores();
  let respond = () => {};
  const blocked = new Promise<void>((resolve) => respond = resolve);
  const get = store.get.bind(store);
  store.get = (key) => blocked.then(() => get(key));
  const ledger = createLedger(store, "entry-1", {
    claimTimeout: 1,
    pause: () => new Promise((resolve) => setImmediate(resolve)),
  });
  t.match(await ledger.claim(createRequest()), {
    error: { reason: "timeout", applied: "unknown" },
  });
  respond();
  await ledger.waitForDrain();
  expectClaimed(await createLedger(store, "entry-2").claim(createRequest()));
});

t.test("a burst of claims is committed in few writes", async (t) => {
  const { store } = createStores();
  const ledger = createLedger(store, "entry-1");
  const keys = Array.from({ length: 400 }, (_, index) => `key-${index}`);
  const results = await Promise.all(
    keys.map((key) => ledger.claim(createRequest({ key }))),
  );
  t.ok(
    results.every((result) =>
      result.map(({ kind }) => kind).unwrapOr("running") === "claimed"
    ),
  );
  t.comment(`${store.writesReceived} writes for ${keys.length} claims`);
  t.ok(store.writesReceived <= 2 * 4);
});

t.test("a flood of claims for one service does not block other services", async (t) => {
  const { store } = createStores();
  const ledger = createLedger(store, "entry-1");
  const flood = Array.from(
    { length: 6000 },
    (_, index) => ledger.claim(createRequest({ key: `key-${index}` })),
  );
  expectClaimed(await ledger.claim(createRequest({ service: "bookings" })));
  const refused = (await Promise.all(flood)).filter((result) => result.isErr);
  t.ok(refused.length > 0);
  t.match(refused[0], { error: { reason: "budget", applied: "no" } });
});

t.test("settled claims are sealed, found by retries, and expire", async (t) => {
  let now = 0;
  const memory = new MemoryKeyValueStore({ clock: () => now });
  const store = new FaultyKeyValueStore(memory);
  let largest = 0;
  const swap = store.compareAndSwap.bind(store);
  store.compareAndSwap = (options) => {
    largest = Math.max(largest, options.value.length);
    return swap(options);
  };
  const ledger = createLedger(store, "entry-1", { retention: () => 1000 });
  const body = Buffer.alloc(8000);
  const keys = Array.from({ length: 1600 }, (_, index) => `key-${index}`);
  for (const key of keys) {
    const claim = expectClaimed(await ledger.claim(createRequest({ key })));
    void ledger.record({ claim, outcome: { ...outcome, body } });
  }
  await ledger.waitForDrain();
  t.comment(`largest value ${largest} bytes`);
  t.ok(largest < MAXIMUM_VALUE_BYTES / 2);
  const later = createLedger(store, "entry-2");
  const retry = createRequest({ key: "key-0" });
  t.match(await later.claim(retry), { value: { kind: "done" } });
  t.match(await later.claim({ ...retry, fingerprint: "g" }), {
    value: { kind: "reused" },
  });
  now = 1001;
  expectClaimed(await later.claim(retry));
});

t.test("a response that is too long is kept without its body", async (t) => {
  const { store } = createStores();
  const ledger = createLedger(store, "entry-1");
  const claim = expectClaimed(await ledger.claim(createRequest()));
  const body = Buffer.alloc(9000);
  await ledger.record({ claim, outcome: { ...outcome, body } });
  const retry = await ledger.claim(createRequest());
  t.match(retry, { value: { kind: "done", outcome: { status: 201 } } });
  t.notMatch(retry, { value: { outcome: { body: Buffer } } });
});

t.test("claims fail if the stored value is not a shard", async (t) => {
  const { memory, store } = createStores();
  const ledger = createLedger(store, "entry-1");
  for (let shard = 0; shard < 4; shard += 1) {
    const key = `claims/orders/4/${shard}`;
    await memory.compareAndSwap({ key, expected: 0, value: "foreign" });
  }
  t.match(await ledger.claim(createRequest()), {
    error: { reason: "malformed", applied: "no" },
  });
});
