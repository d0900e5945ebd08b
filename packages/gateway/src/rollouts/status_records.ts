/** Reads and writes the status of roll-outs in the store. @module */
import type { StorePosition } from "@sycamorepulley/decisions";
import type { PlatformError } from "@sycamorepulley/store";
import type { EraCheckedStore } from "../state/era_checked_store.ts";
import type { RecordCodec, RolloutStatus } from "../state/record_codec.ts";
import type { StoreContact } from "../state/store_contact.ts";

/** A status as stored; revision 0 if there is none. */
export type StoredStatus = {
  status: RolloutStatus | undefined;
  position: StorePosition;
};

/** A status to be written in place of another one. */
export type StatusWrite = {
  service: string;
  status: RolloutStatus;
  /** Position of the status that it replaces. */
  replaces: StorePosition;
  /** Position of the order that it belongs to. */
  order: StorePosition;
};

export class StatusRecords {
  readonly #store: EraCheckedStore;
  readonly #codec: RecordCodec;
  readonly #contact: StoreContact;
  readonly #clock: () => number;

  constructor(options: {
    store: EraCheckedStore;
    codec: RecordCodec;
    contact: StoreContact;
    clock: () => number;
  }) {
    this.#store = options.store;
    this.#codec = options.codec;
    this.#contact = options.contact;
    this.#clock = options.clock;
  }

  /** Resolves to `undefined` if the store fails. */
  async read(service: string): Promise<StoredStatus | undefined> {
    const startedAt = this.#clock();
    const key = this.#codec.rolloutStatusPrefix + service;
    const page = await this.#store.readPage(key);
    if (page.isErr) return this.#recordFailure(page.error, startedAt);
    this.#contact.recordStoreResponse();
    const { items, era } = page.value;
    // The keys of services whose names begin with this one follow.
    const item = items.find((item) => item.key === key);
    const status = item && this.#codec.decodeRolloutStatus(item.value);
    return { status, position: { era, revision: item?.revision ?? 0 } };
  }

  /**
   * Writes a status unless another one has been written, or the order has been
   * replaced. Resolves to its position, or to `undefined` if it was not
   * written, or may be written later.
   */
  async write(write: StatusWrite): Promise<StorePosition | undefined> {
    const { service, status, replaces, order } = write;
    const key = this.#codec.rolloutStatusPrefix + service;
    const orderKey = this.#codec.rolloutPrefix + service;
    const expected = [{ key, revision: replaces.revision }];
    // Another era has other revisions.
    if (order.era === replaces.era) {
      expected.push({ key: orderKey, revision: order.revision });
    }
    const startedAt = this.#clock();
    const written = await this.#store.transact({
      expected,
      writes: [{ key, value: this.#codec.encodeRolloutStatus(status) }],
      removals: [],
    });
    if (written.isErr) return this.#recordFailure(written.error, startedAt);
    this.#contact.recordStoreResponse();
    const outcome = written.value;
    return outcome.kind === "committed"
      ? { era: outcome.era, revision: outcome.revision }
      : undefined;
  }

  #recordFailure(error: PlatformError, startedAt: number): undefined {
    const time = this.#clock() - startedAt;
    const prefix = this.#codec.rolloutStatusPrefix;
    this.#contact.recordStoreFailure({ error, prefix, time });
  }
}
