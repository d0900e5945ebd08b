import { MemoryMetadataStore } from "@sycamorepulley/store";
import type { ItemChange, WatchPrefixOptions } from "@sycamorepulley/store";
import t from "tap";
import { EventLog } from "../src/mod.ts";
import { EraCheckedStore } from "../src/state/era_checked_store.ts";
import {
  PrefixFollower,
  PrefixListener,
} from "../src/state/prefix_follower.ts";
import { StoreContact } from "../src/state/store_contact.ts";
import { RecordingSink } from "./recording_sink.ts";

class CountingStore extends MemoryMetadataStore {
  watches = 0;

  override watchPrefix(options: WatchPrefixOptions) {
    this.watches++;
    return super.watchPrefix(options);
  }
}

class KeyListener extends PrefixListener {
  readonly keys = new Set<string>();

  override onSnapshot(items: readonly { key: string }[]): void {
    for (const { key } of items) this.keys.add(key);
  }

  override onChanges(changes: readonly ItemChange[]): void {
    for (const change of changes) {
      if (change.kind === "written") this.keys.add(change.item.key);
    }
  }
}

const REGISTRATIONS = 40;

/** Returns the number of watches made while entries register one by one. */
async function countWatches(delay: number): Promise<number> {
  const store = new CountingStore();
  const clock = () => performance.now();
  const log = new EventLog({
    instance: "entry",
    sink: new RecordingSink(),
    clock,
  });
  const listener = new KeyListener();
  const stopped = new AbortController();
  const contact = new StoreContact({ log, clock });
  const follower = new PrefixFollower({
    store: new EraCheckedStore(store, contact),
    prefix: "entries/",
    listener,
    contact,
    watchTimeout: () => 2000,
    coalescingDelay: () => delay,
    clock,
  });
  const run = follower.run(stopped.signal);
  for (let index = 0; index < REGISTRATIONS; index++) {
    await store.transact({
      expected: [],
      writes: [{ key: `entries/${index}`, value: "" }],
      removals: [],
    });
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  while (listener.keys.size < REGISTRATIONS) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  stopped.abort();
  await store.transact({
    expected: [],
    writes: [{ key: "entries/last", value: "" }],
    removals: [],
  });
  await run;
  return store.watches;
}

t.test("a delay after changes coalesces registrations into fewer watches", async (t) => {
  const immediate = await countWatches(0);
  const coalesced = await countWatches(400);
  t.ok(immediate > REGISTRATIONS / 2, `${immediate} watches without a delay`);
  t.ok(coalesced < REGISTRATIONS / 4, `${coalesced} watches with a delay`);
});
