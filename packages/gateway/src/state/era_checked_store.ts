/**
 * The one way through which this entry calls the store: it notices each restore
 * of the store, and rejects what was answered before the newest one.
 *
 * Responses arrive in any order. After a restore, one from before it may still
 * arrive, with revisions and leases that mean something else now.
 * @module
 */
import { MetadataStore } from "@sycamorepulley/store";
import type {
  ChangeBatch,
  EraStatement,
  ItemPage,
  Lease,
  LeaseRenewal,
  PlatformError,
  Transaction,
  TransactionOutcome,
  WatchPrefixOptions,
} from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import type { StoreContact } from "./store_contact.ts";

/** A store of which only outcomes of the newest known era are passed on. */
export class EraCheckedStore extends MetadataStore {
  readonly #store: MetadataStore;
  readonly #contact: StoreContact;

  constructor(store: MetadataStore, contact: StoreContact) {
    super();
    this.#store = store;
    this.#contact = contact;
  }

  override readPage(
    prefix: string,
    after?: string,
    signal?: AbortSignal,
  ): Promise<Result<ItemPage, PlatformError>> {
    return this.#check(
      "read page",
      this.#store.readPage(prefix, after, signal),
    );
  }

  override watchPrefix(
    options: WatchPrefixOptions,
  ): Promise<Result<ChangeBatch, PlatformError>> {
    return this.#check("watch", this.#store.watchPrefix(options));
  }

  override transact(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>> {
    return this.#check("transact", this.#store.transact(transaction));
  }

  override grantLease(duration: number): Promise<Result<Lease, PlatformError>> {
    return this.#check("grant lease", this.#store.grantLease(duration));
  }

  override renewLease(
    lease: number,
  ): Promise<Result<LeaseRenewal, PlatformError>> {
    return this.#check("renew lease", this.#store.renewLease(lease));
  }

  override revokeLease(lease: number): Promise<Result<void, PlatformError>> {
    return this.#store.revokeLease(lease);
  }

  async #check<Outcome extends EraStatement>(
    step: string,
    call: Promise<Result<Outcome, PlatformError>>,
  ): Promise<Result<Outcome, PlatformError>> {
    const outcome = await call;
    if (outcome.isErr) return outcome;
    const { era } = outcome.value;
    this.#contact.recordEra(era, "store");
    const newest = this.#contact.era;
    if (era === newest) return outcome;
    return Result.err({
      step,
      peer: "store",
      reason: "outdated",
      applied: "unknown",
      detail: `response of era ${era}, the store is in era ${newest}`,
    });
  }
}
