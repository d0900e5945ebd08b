/** Keeps the configuration of a process up to date. @module */
import { setTimeout as sleep } from "node:timers/promises";
import type { Result } from "true-myth/result";
import type {
  KeyValueEntry,
  KeyValueStore,
  PlatformError,
  WatchOutcome,
} from "@sycamorepulley/store";
import { decodeManifest, MANIFEST_KEY } from "./manifest.ts";
import { pollDelay, watchDuration } from "./poll_schedule.ts";
import { newerSnapshot } from "./snapshot.ts";
import type { Snapshot } from "./snapshot.ts";

/**
 * Expected number of processes that write back a configuration that was lost.
 */
const EXPECTED_RESTORERS = 3;

/** Options of {@link ConfigurationFollower}. */
export type FollowerOptions = {
  store: KeyValueStore;
  /** Number of processes in the fleet, as far as known; spaces their calls. */
  fleetSize: () => number;
  /** Returns a number from 0 to 1, as `Math.random` does. */
  random: () => number;
  /** Called after each change of the configuration in force. */
  onChange?: (snapshot: Snapshot) => void;
  /** Key of the manifest; by default {@link MANIFEST_KEY}. */
  key?: string;
};

/** Numbers of events since the follower was created. */
export type FollowerCounts = {
  /** Configurations that came into force. */
  adopted: number;
  /** Values that are not a manifest, or not one that this release can read. */
  malformed: number;
  /** Failed calls to the key-value service. */
  failed: number;
  /** Times that it wrote back a configuration that the service had lost. */
  restored: number;
};

/**
 * Receives the published configuration from the key-value service and from
 * peers. During an outage of the service the last configuration stays in force.
 */
export class ConfigurationFollower {
  readonly counts: FollowerCounts = {
    adopted: 0,
    malformed: 0,
    failed: 0,
    restored: 0,
  };
  readonly #options: FollowerOptions;
  readonly #key: string;
  #activeSnapshot: Snapshot | undefined;
  /** The key-value service's revision of the key, as last read. */
  #keyRevision = 0;
  /** Era of the service in which it was read. */
  #keyEra: number | undefined;
  /**
   * Revision of the configuration in the manifest, as last read; 0 if absent.
   */
  #manifestRevision = 0;
  #consecutiveFailures = 0;
  #lastError: PlatformError | undefined;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.#key = options.key ?? MANIFEST_KEY;
  }

  /** The configuration in force; absent until one has been received. */
  get activeSnapshot(): Snapshot | undefined {
    return this.#activeSnapshot;
  }

  /** Revision in force; 0 until a configuration has been received. */
  get revision(): number {
    return this.#activeSnapshot?.revision ?? 0;
  }

  /** Error of the latest call; absent if it succeeded. */
  get lastError(): PlatformError | undefined {
    return this.#lastError;
  }

  /** Handles a peer's manifest; returns whether it came into force. */
  receiveManifest(text: string): boolean {
    const offered = decodeManifest(text);
    if (offered.isErr) {
      this.counts.malformed += 1;
      return false;
    }
    return this.#adopt(offered.value);
  }

  /** Polls until the signal aborts; does not wait for a running watch then. */
  async run(signal: AbortSignal): Promise<void> {
    const stopped = new Promise<void>((resolve) => {
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
    while (!signal.aborted) {
      await Promise.race([this.poll(), stopped]);
      const delay = pollDelay({
        fleetSize: this.#options.fleetSize(),
        failures: this.#consecutiveFailures,
        random: this.#options.random(),
      });
      await sleep(delay, undefined, { signal }).catch(() => {});
    }
  }

  /** Makes one call to the key-value service and handles its response. */
  async poll(): Promise<void> {
    const outcome = await this.#watch();
    this.#lastError = outcome.isErr ? outcome.error : undefined;
    this.#consecutiveFailures = outcome.isErr
      ? this.#consecutiveFailures + 1
      : 0;
    this.counts.failed += outcome.isErr ? 1 : 0;
    if (outcome.isErr) {
      return;
    }
    if (outcome.value.changed) {
      this.#handleStoredEntry(outcome.value.entry);
    }
    if (this.#manifestRevision < this.revision) {
      await this.#writeBack();
    }
  }

  async #watch(): Promise<Result<WatchOutcome, PlatformError>> {
    const { store, fleetSize } = this.#options;
    const outcome = await store.watch({
      key: this.#key,
      after: this.#keyRevision,
      wait: watchDuration(fleetSize()),
    });
    const isRestored = this.#keyEra !== undefined && this.#keyEra !== store.era;
    if (outcome.isErr || outcome.value.changed || !isRestored) return outcome;
    // A restored service may have given out the revision for another value.
    const entry = await store.get(this.#key);
    return entry.map((entry) => ({ changed: true, entry }));
  }

  #handleStoredEntry(entry: KeyValueEntry | undefined): void {
    this.#keyRevision = entry?.revision ?? 0;
    this.#keyEra = this.#options.store.era;
    this.#manifestRevision = 0;
    if (entry === undefined) {
      return;
    }
    const stored = decodeManifest(entry.value);
    if (stored.isErr) {
      // It may have been written by a newer release, so it must not be
      // overwritten. As the highest revision it is never considered lost.
      this.#manifestRevision = Number.MAX_SAFE_INTEGER;
      this.counts.malformed += 1;
      return;
    }
    this.#manifestRevision = stored.value.revision;
    this.#adopt(stored.value);
  }

  #adopt(offered: Snapshot): boolean {
    const snapshot = newerSnapshot(this.#activeSnapshot, offered);
    if (snapshot === this.#activeSnapshot) {
      return false;
    }
    this.#activeSnapshot = snapshot;
    this.counts.adopted += 1;
    this.#options.onChange?.(snapshot);
    return true;
  }

  /**
   * Writes the configuration in force back after the service was restored to an
   * older state or emptied. Otherwise a new process would start with the old
   * configuration, although operators saw the newer one accepted. Each process
   * decides at random, so that only a few of the fleet write. The
   * compare-and-swap expects the revision that was read, so that it can't undo
   * a publish made since.
   */
  async #writeBack(): Promise<void> {
    const probability = EXPECTED_RESTORERS /
      Math.max(1, this.#options.fleetSize());
    if (
      this.#activeSnapshot === undefined ||
      this.#options.random() >= probability
    ) {
      return;
    }
    const snapshot = this.#activeSnapshot;
    const outcome = await this.#options.store.compareAndSwap({
      key: this.#key,
      expected: this.#keyRevision,
      era: this.#keyEra ?? this.#options.store.era,
      value: snapshot.text,
    });
    if (outcome.isOk && outcome.value.swapped) {
      this.counts.restored += 1;
      this.#keyRevision = outcome.value.revision;
      this.#manifestRevision = snapshot.revision;
    }
  }
}
