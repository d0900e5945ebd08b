import { MetadataStore } from "@sycamorepulley/store";
import { MEMBER_PREFIX } from "../src/state/entry_registration.ts";
import type {
  MemoryMetadataStore,
  Transaction,
  WatchPrefixOptions,
} from "@sycamorepulley/store";

/** A port of 127.0.0.1 at which nothing listens. */
const CLOSED_PORT = 1;

/** One entry's access to a test store that other entries use as well. */
export class StoreView extends MetadataStore {
  readonly #store: MemoryMetadataStore;
  /** While true, the store rejects all calls of this entry. */
  rejects = false;
  /** While true, the entry registers an address that refuses connections. */
  registersClosedPort = false;

  constructor(store: MemoryMetadataStore) {
    super();
    this.#store = store;
  }

  override readPage(prefix: string, after?: string) {
    return this.#call(() => this.#store.readPage(prefix, after));
  }

  override async watchPrefix(options: WatchPrefixOptions) {
    const watch = (options: WatchPrefixOptions) =>
      this.#call(() => this.#store.watchPrefix(options));
    const batch = await watch(options);
    // A rejected entry must not see what changed during its watch.
    return this.rejects ? await watch({ ...options, wait: 0 }) : batch;
  }

  override transact(transaction: Transaction) {
    const writes = transaction.writes.map((write) =>
      this.registersClosedPort && write.key.startsWith(MEMBER_PREFIX)
        ? { ...write, value: withClosedPort(write.value) }
        : write
    );
    return this.#call(() => this.#store.transact({ ...transaction, writes }));
  }

  override grantLease() {
    return this.#call(() => this.#store.grantLease());
  }

  override renewLease(lease: number) {
    return this.#call(() => this.#store.renewLease(lease));
  }

  override revokeLease(lease: number) {
    return this.#call(() => this.#store.revokeLease(lease));
  }

  /** Makes one call; the store is down during it if it rejects the entry. */
  #call<Outcome>(call: () => Outcome): Outcome {
    this.#store.outage = this.rejects;
    const outcome = call();
    this.#store.outage = false;
    return outcome;
  }
}

function withClosedPort(member: string): string {
  return JSON.stringify({ ...JSON.parse(member), port: CLOSED_PORT });
}
