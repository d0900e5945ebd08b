import t from "tap";
import {
  FaultyKeyValueStore,
  MAXIMUM_VALUE_BYTES,
  MemoryKeyValueStore,
} from "../../src/mod.ts";
import { held, ledgerOn, NOW, requestWith } from "./example.ts";

function stores() {
  const memory = new MemoryKeyValueStore();
  return { memory, store: new FaultyKeyValueStore(memory) };
}

const outcome = {
  status: 201,
  headers: { "content-type": "application/json" },
  body: Buffer.from('{"swapped":true}'),
};

// A flavour swap's answer is lost on its way to the café, and the café sends it
// again, by another entry. It must get the first swap's answer, not a second.
t.test("a resend gets the recorded outcome", async (t) => {
  const { store } = stores();
  const first = ledgerOn(store, "entry-1");
  const second = ledgerOn(store, "entry-2");
  const claim = held(await first.claim(requestWith()));
  t.match(await second.claim(requestWith()), { value: { kind: "running" } });
  t.ok((await first.record({ claim, outcome })).isOk);
  for (const ledger of [first, second]) {
    t.match(await ledger.claim(requestWith()), {
      value: { kind: "done", outcome },
    });
  }
});

t.test("a key with another request, or of another caller", async (t) => {
  const { store } = stores();
  const ledger = ledgerOn(store, "entry-1");
  held(await ledger.claim(requestWith()));
  t.match(await ledger.claim(requestWith({ fingerprint: "g" })), {
    value: { kind: "reused" },
  });
  held(await ledger.claim(requestWith({ organisation: "guild" })));
  held(await ledger.claim(requestWith({ service: "bookings" })));
});

t.test("a claim is free again after its release only", async (t) => {
  const { store } = stores();
  const first = ledgerOn(store, "entry-1");
  const second = ledgerOn(store, "entry-2");
  const claim = held(await first.claim(requestWith()));
  await first.release(claim);
  const again = held(await second.claim(requestWith()));
  await first.release(claim);
  t.match(await first.claim(requestWith()), { value: { kind: "running" } });
  await second.record({ claim: again, outcome: "unknown" });
  await second.release(again);
  t.match(await first.claim(requestWith()), { value: { kind: "unknown" } });
});

// An entry dies with a payment running. Whoever sends it again must not be told
// "come back" for ever, and must not pay twice.
t.test("a dead claimant's request is unknown, never run again", async (t) => {
  const { store } = stores();
  held(await ledgerOn(store, "dead").claim(requestWith({ duration: 5000 })));
  const later = ledgerOn(store, "entry-2");
  const resend = (now: number) => later.claim(requestWith({ now }));
  t.match(await resend(NOW + 64_000), { value: { kind: "running" } });
  t.match(await resend(NOW + 66_000), { value: { kind: "unknown" } });
});

t.test("a lost answer of the claim's write is read back", async (t) => {
  for (
    const fault of ["lost_answer", "lost_request", "late_request"] as const
  ) {
    const { store } = stores();
    store.writeFaults.push(fault, fault);
    const ledger = ledgerOn(store, "entry-1");
    held(await ledger.claim(requestWith()));
    await store.deliverLateWrites();
    t.match(await ledger.claim(requestWith()), { value: { kind: "running" } });
  }
});

// The service goes down. Callers are told "not run", which stays true: a claim
// whose write arrives late must not make a resend wait for a run that never was.
t.test("an outage fails closed, and a late claim is released", async (t) => {
  const { store } = stores();
  const ledger = ledgerOn(store, "entry-1");
  store.outage = true;
  t.match(await ledger.claim(requestWith()), { error: { applied: "no" } });
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
    t.match(await ledger.claim(requestWith({ key })), {
      error: { applied: "unknown" },
    });
    await arrive();
    held(await ledgerOn(store, "entry-2").claim(requestWith({ key })));
  }
  t.match(ledger.counts, { failed: 3, claimed: 0 });
});

t.test("an outcome is recorded after an outage", async (t) => {
  const { store } = stores();
  const ledger = ledgerOn(store, "entry-1");
  const claim = held(await ledger.claim(requestWith()));
  store.outage = true;
  const recorded = ledger.record({ claim, outcome });
  const refused = await ledger.claim(requestWith({ key: "other" }));
  t.ok(refused.isErr);
  store.outage = false;
  t.ok((await recorded).isOk);
  t.match(await ledger.claim(requestWith()), { value: { kind: "done" } });
});

t.test("a claim that takes too long is refused and released", async (t) => {
  const { store } = stores();
  let answer = () => {};
  const blocked = new Promise<void>((resolve) => answer = resolve);
  const get = store.get.bind(store);
  store.get = (key) => blocked.then(() => get(key));
  const ledger = ledgerOn(store, "entry-1", {
    claimTimeout: 1,
    pause: () => new Promise((resolve) => setImmediate(resolve)),
  });
  t.match(await ledger.claim(requestWith()), {
    error: { reason: "timeout", applied: "unknown" },
  });
  answer();
  await ledger.waitForDrain();
  held(await ledgerOn(store, "entry-2").claim(requestWith()));
});

t.test("a burst shares its writes", async (t) => {
  const { store } = stores();
  const ledger = ledgerOn(store, "entry-1");
  const keys = Array.from({ length: 400 }, (_, index) => `key-${index}`);
  const answers = await Promise.all(
    keys.map((key) => ledger.claim(requestWith({ key }))),
  );
  t.ok(
    answers.every((answer) =>
      answer.map(({ kind }) => kind).unwrapOr("running") === "claimed"
    ),
  );
  t.comment(`${store.writesReceived} writes for ${keys.length} claims`);
  t.ok(store.writesReceived <= 2 * 4);
});

t.test("one service's flood leaves the others' claims alone", async (t) => {
  const { store } = stores();
  const ledger = ledgerOn(store, "entry-1");
  const flood = Array.from(
    { length: 6000 },
    (_, index) => ledger.claim(requestWith({ key: `key-${index}` })),
  );
  held(await ledger.claim(requestWith({ service: "bookings" })));
  const refused = (await Promise.all(flood)).filter((answer) => answer.isErr);
  t.ok(refused.length > 0);
  t.match(refused[0], { error: { reason: "budget", applied: "no" } });
});

t.test("old claims are sealed, found again and lapse", async (t) => {
  let now = 0;
  const memory = new MemoryKeyValueStore({ clock: () => now });
  const store = new FaultyKeyValueStore(memory);
  let largest = 0;
  const swap = store.compareAndSwap.bind(store);
  store.compareAndSwap = (options) => {
    largest = Math.max(largest, options.value.length);
    return swap(options);
  };
  const ledger = ledgerOn(store, "entry-1", { retention: () => 1000 });
  const body = Buffer.alloc(8000);
  const keys = Array.from({ length: 1600 }, (_, index) => `key-${index}`);
  for (const key of keys) {
    const claim = held(await ledger.claim(requestWith({ key })));
    void ledger.record({ claim, outcome: { ...outcome, body } });
  }
  await ledger.waitForDrain();
  t.comment(`largest value ${largest} bytes`);
  t.ok(largest < MAXIMUM_VALUE_BYTES / 2);
  const later = ledgerOn(store, "entry-2");
  const resend = requestWith({ key: "key-0" });
  t.match(await later.claim(resend), { value: { kind: "done" } });
  t.match(await later.claim({ ...resend, fingerprint: "g" }), {
    value: { kind: "reused" },
  });
  now = 1001;
  held(await later.claim(resend));
});

t.test("too long an answer is kept without its body", async (t) => {
  const { store } = stores();
  const ledger = ledgerOn(store, "entry-1");
  const claim = held(await ledger.claim(requestWith()));
  const body = Buffer.alloc(9000);
  await ledger.record({ claim, outcome: { ...outcome, body } });
  const resend = await ledger.claim(requestWith());
  t.match(resend, { value: { kind: "done", outcome: { status: 201 } } });
  t.notMatch(resend, { value: { outcome: { body: Buffer } } });
});

t.test("foreign values fail closed and are left alone", async (t) => {
  const { memory, store } = stores();
  const ledger = ledgerOn(store, "entry-1");
  for (let shard = 0; shard < 4; shard += 1) {
    const key = `claims/orders/4/${shard}`;
    await memory.compareAndSwap({ key, expected: 0, value: "foreign" });
  }
  t.match(await ledger.claim(requestWith()), {
    error: { reason: "malformed", applied: "no" },
  });
});
