/** Keeps a process's configuration up to date. @module */
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

/** Processes that write the set back when the service has lost it. */
const EXPECTED_RESTORERS = 3;

/** What a follower needs. */
export type FollowerOptions = {
  store: KeyValueStore;
  /** Processes in the fleet, as far as known; spaces the calls. */
  fleetSize: () => number;
  /** Between 0 and 1, such as `Math.random`. */
  random: () => number;
  /** Called after each change of the set in force. */
  onChange?: (snapshot: Snapshot) => void;
  key?: string;
};

/** Events since the start, for the counters of the process. */
export type FollowerCounts = {
  adopted: number;
  /** Values that are no manifest, or one that this release can't read. */
  malformed: number;
  /** Calls of the service that failed. */
  failed: number;
  /** Times that this process wrote a lost set back. */
  restored: number;
};

/**
 * Follows the published set through the platform's service and through peers. An
 * outage of the service leaves the last accepted set in force.
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
  /** The store's own revision of the key as last read. */
  #seenRevision = 0;
  /** Revision inside the manifest as last read; 0 while there is none. */
  #storedRevision = 0;
  #failuresInRow = 0;
  #lastError: PlatformError | undefined;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.#key = options.key ?? MANIFEST_KEY;
  }

  /** The set in force; absent until one is found. */
  get activeSnapshot(): Snapshot | undefined {
    return this.#inForce;
  }

  /** Revision in force; 0 until a set is found. */
  get revision(): number {
    return this.#inForce?.revision ?? 0;
  }

  /** The latest call's error; absent when it succeeded. */
  get lastError(): PlatformError | undefined {
    return this.#lastError;
  }

  /** Offers a manifest that a peer sent; `true` if it is now in force. */
  receiveManifest(text: string): boolean {
    const offered = decodeManifest(text);
    if (offered.isErr) {
      this.counts.malformed += 1;
      return false;
    }
    return this.#adopt(offered.value);
  }

  /** Follows until the signal aborts; a watch under way is left behind. */
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

  /** One call of the service and what follows from its answer. */
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
      // Perhaps of a newer release: never to be overwritten by this one.
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
   * The service was restored to an older state, or emptied: what operators saw
   * accepted is in force here, yet a new process would start with the old set.
   * A few processes, drawn by lot, write the newer set back. The swap names the
   * revision that was read, so that it can't undo a publish made meanwhile.
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
