import {
  FaultyKeyValueStore,
  MemoryKeyValueStore,
} from "@sycamorepulley/store";
import t from "tap";
import { publish } from "../src/mod.ts";
import type { PublishOptions } from "../src/mod.ts";
import { EXAMPLE, NOW, readExample } from "./example.ts";

function faultyStore(): FaultyKeyValueStore {
  return new FaultyKeyValueStore(new MemoryKeyValueStore());
}

function optionsFor(
  store: FaultyKeyValueStore,
  changed: Partial<PublishOptions> & { text?: string } = {},
): PublishOptions {
  const { text = EXAMPLE, ...options } = changed;
  return {
    store,
    ...readExample(text),
    baseRevision: 0,
    publishId: "first",
    publishedBy: "ana",
    now: NOW,
    pause: () => Promise.resolve(),
    ...options,
  };
}

t.test("publishing the same file again changes nothing", async (t) => {
  const store = faultyStore();
  const first = await publish(optionsFor(store));
  t.match(first, { value: { unchanged: false, snapshot: { revision: NOW } } });
  const again = { baseRevision: NOW, publishId: "second", now: NOW + 5 };
  t.match(await publish(optionsFor(store, again)), {
    value: { unchanged: true, snapshot: { revision: NOW } },
  });
});

t.test("an inconsistent configuration is not published", async (t) => {
  const store = faultyStore();
  const text = EXAMPLE.replace('"rank": 1', '"rank": 0');
  const outcome = await publish(optionsFor(store, { text }));
  t.match(outcome, { error: { kind: "problems", problems: [{ line: 5 }] } });
  t.equal(store.writesReceived, 0);
});

// Guards against an operator undoing an edit published since the file was read.
t.test("a conflict reports who changed what since the base", async (t) => {
  const store = faultyStore();
  await publish(optionsFor(store));
  const raised = EXAMPLE.replace("60000", "90000");
  await publish(optionsFor(store, {
    text: raised,
    baseRevision: NOW,
    publishId: "ana-2",
    now: NOW + 10,
  }));
  const late = await publish(optionsFor(store, {
    text: EXAMPLE.replace('"cafe"', '"bar"'),
    baseRevision: NOW,
    publishId: "bor",
    publishedBy: "bor",
    now: NOW + 20,
  }));
  t.match(late, {
    error: {
      kind: "conflict",
      baseRevision: NOW,
      currentRevision: NOW + 10,
      publications: [{ publishedBy: "ana", changes: ["tiers/batch"] }],
      difference: [
        { object: "tiers/batch", fields: [{ before: 90000, after: 60000 }] },
        { object: "organisations/bar", change: "added" },
        { object: "organisations/cafe", change: "removed" },
      ],
    },
  });
});

// Guards against reporting an accepted publish as failed after a lost response.
t.test("a publish is resolved although its responses are lost", async (t) => {
  for (
    const fault of ["lost_answer", "lost_request", "late_request"] as const
  ) {
    const store = faultyStore();
    store.writeFaults.push(fault, fault);
    const outcome = await publish(optionsFor(store));
    t.match(outcome, { value: { unchanged: false } }, fault);
    await store.deliverLateWrites();
    t.match(await publish(optionsFor(store)), {
      value: { unchanged: true, snapshot: { publishId: "first" } },
    }, "the same publish again changes nothing");
  }
});

t.test("a publish with a lost response succeeds although another followed", async (t) => {
  const store = faultyStore();
  store.writeFaults.push("lost_answer");
  const bor = optionsFor(store, { publishId: "bor", publishedBy: "bor" });
  const outcome = await publish(optionsFor(store, {
    pause: async () => {
      const text = EXAMPLE.replace("60000", "90000");
      await publish({
        ...bor,
        ...readExample(text),
        baseRevision: NOW,
        now: NOW + 1,
      });
    },
  }));
  t.match(outcome, { value: { snapshot: { publishId: "bor" } } });
});

t.test("an outage gives not_published, lost requests give unknown", async (t) => {
  const store = faultyStore();
  store.outage = true;
  t.match(await publish(optionsFor(store)), {
    error: { kind: "not_published", error: { applied: "no" } },
  });
  store.outage = false;
  store.writeFaults.push(...Array(9).fill("lost_request"));
  t.match(await publish(optionsFor(store)), {
    error: { kind: "unknown", publishId: "first" },
  });
});
