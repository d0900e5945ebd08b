/** Keeps the configuration of a process up to date. @module */
import { setTimeout as sleep } from "node:timers/promises";
import type {
  KeyValueEntry,
  KeyValueStore,
  PlatformError,
} from "@sycamorepulley/store";
import { decodeManifest, MANIFEST_KEY } from "./manifest.ts";
import { pollDelay, watchDuration } from "./poll_schedule.ts";
import { adopt } from "./snapshot.ts";
import type { Snapshot } from "./snapshot.ts";

/**
 * Expected number of processes that write back a configuration that was lost.
 */
const EXPECTED_RESTORERS = 3;

/** Options of {@link ConfigurationFollower}. */
export type FollowerOptions = {
  store: KeyValueStore;
  /**
   * Number of processes in the fleet, as far as known; sets the poll interval.
   */
  fleetSize: () => number;
  /** Returns a number from 0 to 1, as `Math.random` does. */
  random: () => number;
  /** Called after each change of the configuration in force. */
  onChange?: (snapshot: Snapshot) => void;
  /** Key of the manifest; by default {@link MANIFEST_KEY}. */
  key?: string;
};

/** Numbers of events since the start of the process. */
export type FollowerCounts = {
  /** Configurations that came into force. */
  adopted: number;
  /** Values that are not a manifest, or not one that this release can read. */
  malformed: number;
  /** Failed calls to the key-value service. */
  failed: number;
  /**
   * Times that this process wrote back a configuration that the service lost.
   */
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
  #inForce: Snapshot | undefined;
  /** The key-value service's revision of the key, as last read. */
  #seenRevision = 0;
  /**
   * Revision of the configuration in the manifest, as last read; 0 if absent.
   */
  #storedRevision = 0;
  #failuresInRow = 0;
  #lastError: PlatformError | undefined;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.#key = options.key ?? MANIFEST_KEY;
  }

  /** The configuration in force; absent until one has been received. */
  get activeSnapshot(): Snapshot | undefined {
    return this.#inForce;
  }

  /** Revision in force; 0 until a configuration has been received. */
  get revision(): number {
    return this.#inForce?.revision ?? 0;
  }

  /** Error of the latest call; absent if it succeeded. */
  get lastError(): PlatformError | undefined {
    return this.#lastError;
  }

  /**
   * Handles a manifest that a peer sent; returns whether it came into force.
   */
  receiveManifest(text: string): boolean {
    const offered = decodeManifest(text);
    if (offered.isErr) {
      this.counts.malformed += 1;
      return false;
    }
    return this.#adopt(offered.value);
  }

  /**
   * Polls until the signal aborts, and then doesn't wait for a running watch.
   */
  async run(signal: AbortSignal): Promise<void> {
    const stopped = new Promise<void>((resolve) => {
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
    while (!signal.aborted) {
      await Promise.race([this.poll(), stopped]);
      const delay = pollDelay({
        fleetSize: this.#options.fleetSize(),
        failures: this.#failuresInRow,
        random: this.#options.random(),
      });
      await sleep(delay, undefined, { signal }).catch(() => {});
    }
  }

  /** Makes one call to the key-value service and handles its response. */
  async poll(): Promise<void> {
    const outcome = await this.#options.store.watch({
      key: this.#key,
      after: this.#seenRevision,
      wait: watchDuration(this.#options.fleetSize()),
    });
    this.#lastError = outcome.isErr ? outcome.error : undefined;
    this.#failuresInRow = outcome.isErr ? this.#failuresInRow + 1 : 0;
    this.counts.failed += outcome.isErr ? 1 : 0;
    if (outcome.isErr) {
      return;
    }
    if (outcome.value.changed) {
      this.#read(outcome.value.entry);
    }
    if (this.#storedRevision < this.revision) {
      await this.#restore();
    }
  }

  #read(entry: KeyValueEntry | undefined): void {
    this.#seenRevision = entry?.revision ?? 0;
    this.#storedRevision = 0;
    if (entry === undefined) {
      return;
    }
    const stored = decodeManifest(entry.value);
    if (stored.isErr) {
      // It may have been written by a newer release, so it must not be
      // overwritten. As the highest revision it is never considered lost.
      this.#storedRevision = Number.MAX_SAFE_INTEGER;
      this.counts.malformed += 1;
      return;
    }
    this.#storedRevision = stored.value.revision;
    this.#adopt(stored.value);
  }

  #adopt(offered: Snapshot): boolean {
    const snapshot = adopt(this.#inForce, offered);
    if (snapshot === this.#inForce) {
      return false;
    }
    this.#inForce = snapshot;
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
  async #restore(): Promise<void> {
    const share = EXPECTED_RESTORERS / Math.max(1, this.#options.fleetSize());
    if (this.#inForce === undefined || this.#options.random() >= share) {
      return;
    }
    const restored = this.#inForce;
    const outcome = await this.#options.store.compareAndSwap({
      key: this.#key,
      expected: this.#seenRevision,
      value: restored.text,
    });
    if (outcome.isOk && outcome.value.swapped) {
      this.counts.restored += 1;
      this.#seenRevision = outcome.value.revision;
      this.#storedRevision = restored.revision;
    }
  }
}
