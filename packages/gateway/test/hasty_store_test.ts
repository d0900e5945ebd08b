import { MemoryMetadataStore } from "@sycamorepulley/store";
import type {
  ChangeBatch,
  PlatformError,
  WatchPrefixOptions,
} from "@sycamorepulley/store";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { Result } from "true-myth/result";
import { EraCheckedStore } from "../src/state/era_checked_store.ts";
import {
  PrefixFollower,
  PrefixListener,
} from "../src/state/prefix_follower.ts";
import { waitUntil } from "./fixture.ts";
import { createContact } from "./store_access.ts";

/** Milliseconds for which a follower is observed. */
const OBSERVED = 1500;
/** Calls that a follower may make in that time. */
const MAXIMUM_CALLS = 12;

type Watch = Promise<Result<ChangeBatch, PlatformError>>;

/** Responds to watches immediately. */
class HastyStore extends MemoryMetadataStore {
  calls = 0;
  readonly #respond: (options: WatchPrefixOptions) => ChangeBatch;

  constructor(respond: (options: WatchPrefixOptions) => ChangeBatch) {
    super();
    this.#respond = respond;
    this.put("a/1", "");
  }

  override readPage(prefix: string, after?: string) {
    this.calls++;
    return super.readPage(prefix, after);
  }

  override async watchPrefix(options: WatchPrefixOptions): Watch {
    this.calls++;
    await sleep(1);
    return Result.ok(this.#respond(options));
  }
}

class IgnoringListener extends PrefixListener {
  override onSnapshot(): void {}
  override onChanges(): void {}
}

/** Starts a follower of a store that responds with `respond`. */
function follow(respond: (options: WatchPrefixOptions) => ChangeBatch) {
  const store = new HastyStore(respond);
  const contact = createContact();
  const stopped = new AbortController();
  const follower = new PrefixFollower({
    store: new EraCheckedStore(store, contact),
    prefix: "a/",
    listener: new IgnoringListener(),
    contact,
    watchTimeout: () => 2000,
    clock: () => performance.now(),
  });
  const run = follower.run(stopped.signal);
  const stop = async () => {
    stopped.abort();
    await run;
  };
  return { store, stop };
}

const RESPONSES: Record<string, (options: WatchPrefixOptions) => ChangeBatch> =
  {
    "no changes": ({ after }) => ({
      kind: "changes",
      changes: [],
      asOf: after,
      era: 1,
    }),
    "an older revision": () => ({
      kind: "changes",
      changes: [],
      asOf: 0,
      era: 1,
    }),
    "the same change again and again": ({ after }) => ({
      kind: "changes",
      changes: [{ kind: "removed", key: "a/1", revision: after }],
      asOf: after,
      era: 1,
    }),
    "a compaction each time": () => ({ kind: "compacted", era: 1 }),
  };

for (const [name, respond] of Object.entries(RESPONSES)) {
  // Guards against calls without a pause, which load the store and the entry.
  t.test(`a store that responds at once with ${name} is not called at once`, async (t) => {
    const { store, stop } = follow(respond);
    await sleep(OBSERVED);
    t.ok(store.calls <= MAXIMUM_CALLS, `${store.calls} calls`);
    t.ok(store.calls >= 4, `${store.calls} calls`);
    await stop();
  });
}

t.test("changes in quick succession are followed without a pause", async (t) => {
  const { store, stop } = follow(({ after }) => ({
    kind: "changes",
    changes: [{ kind: "removed", key: "a/1", revision: after + 1 }],
    asOf: after + 1,
    era: 1,
  }));
  t.ok(await waitUntil(() => store.calls > 2 * MAXIMUM_CALLS));
  await stop();
});
