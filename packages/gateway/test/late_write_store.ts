import type { MemoryMetadataStore, Transaction } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import { StoreView } from "./store_view.ts";

/** Access to a store that loses the response to the first write. */
export class LateWriteStore extends StoreView {
  readonly #store: MemoryMetadataStore;
  #lateWrite: Transaction | undefined;
  /** Leases in the order of their writes. */
  readonly leases: number[] = [];

  constructor(store: MemoryMetadataStore) {
    super(store);
    this.#store = store;
  }

  /** Executes the first write now, if its condition holds. */
  async executeLate(): Promise<void> {
    await this.#store.transact(this.#lateWrite!);
  }

  override transact(transaction: Transaction) {
    const [write] = transaction.writes;
    if (write?.lease !== undefined) this.leases.push(write.lease);
    if (this.#lateWrite !== undefined) return super.transact(transaction);
    this.#lateWrite = transaction;
    return Promise.resolve(Result.err(
      {
        step: "transact",
        peer: "store",
        reason: "timeout",
        applied: "unknown",
        detail: "no response",
      } as const,
    ));
  }
}
