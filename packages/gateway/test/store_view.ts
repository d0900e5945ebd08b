import { MetadataStore } from "@sycamorepulley/store";
import type {
  MemoryMetadataStore,
  Transaction,
  WatchPrefixOptions,
} from "@sycamorepulley/store";

/** One entry's way to a store of tests that others use as well. */
export class StoreView extends MetadataStore {
  readonly #store: MemoryMetadataStore;
  /** While true the store turns this entry away. */
  turnedAway = false;

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
    // What changed while it waited is not told to an entry that is turned away.
    return this.turnedAway ? await watch({ ...options, wait: 0 }) : batch;
  }

  override transact(transaction: Transaction) {
    return this.#call(() => this.#store.transact(transaction));
  }

  override grantLease() {
    return this.#call(() => this.#store.grantLease());
  }

  override renewLease(lease: number) {
    return this.#call(() => this.#store.renewLease(lease));
  }

  override endLease(lease: number) {
    return this.#call(() => this.#store.endLease(lease));
  }

  /** Calls the store, which is down for the call's time if it turns away. */
  #call<Outcome>(call: () => Outcome): Outcome {
    this.#store.down = this.turnedAway;
    const outcome = call();
    this.#store.down = false;
    return outcome;
  }
}
