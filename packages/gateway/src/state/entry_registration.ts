/**
 * Registers this entry in the store under a lease, so that other entries find
 * it and count its share of the fleet.
 *
 * A store that was restored from an older copy has lost the lease, or has given
 * its number to another entry: a renewal that succeeds shows nothing then. The
 * entry registers anew whenever a restore is known.
 *
 * A write whose response was lost may be executed seconds later, when the entry
 * has registered under another lease. Each write is therefore conditional on
 * the revision of the key that was read before it.
 *
 * Other entries act on the key, not on its lease: the entry follows its own key
 * and registers again if the key was removed or overwritten.
 * @module
 */
import {
  FIRST_POSITION,
  isLater,
  UNREGISTERED_GRACE_PERIOD,
} from "@sycamorepulley/decisions";
import type { StorePosition } from "@sycamorepulley/decisions";
import type { Lease, PlatformError } from "@sycamorepulley/store";
import type { Result } from "true-myth/result";
import type { EventLog } from "../observe/event_log.ts";
import type { Address } from "../settings.ts";
import type { EraCheckedStore } from "./era_checked_store.ts";
import type { Member } from "./fleet_state.ts";
import { pause } from "./pause.ts";
import type { PrefixListener } from "./prefix_follower.ts";
import { StateListener } from "./state_listener.ts";
import type { StoreContact } from "./store_contact.ts";

/** Prefix of the keys under which entries register. */
export const MEMBER_PREFIX = "sycamorepulley/entries/";
/**
 * Milliseconds until the registration of a dead process expires: long enough to
 * survive a few lost renewals, short compared with a quota window of 8 s.
 */
const LEASE_DURATION = 4000;
/** Milliseconds between renewals of the lease. */
const RENEWAL_INTERVAL = 1000;
/** Milliseconds until a failed registration or renewal is retried. */
const RETRY_DELAY = 400;
/**
 * Maximum milliseconds until a lost registration is renewed, if it was lost
 * repeatedly: another instance may have the same name.
 */
const MAXIMUM_BACKOFF = 4000;

/** Keeps the entry registered until {@link EntryRegistration.leave}. */
export class EntryRegistration {
  readonly #store: EraCheckedStore;
  readonly #instance: string;
  readonly #key: string;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #contact: StoreContact;
  readonly #stopController = new AbortController();
  #lease: Lease | undefined;
  #registered = false;
  /** Start of the last call that showed the registration to be valid. */
  #confirmedAt = -Infinity;
  #leaseExpiresAt = -Infinity;
  /** Position at which this process last wrote the key, and when. */
  #writtenAs: StorePosition = FIRST_POSITION;
  #writtenAt = -Infinity;
  /** Position of the newest change of the key that was read. */
  #keyPosition: StorePosition = FIRST_POSITION;
  /** Aborted when the key was changed by another writer. */
  #displacement = new AbortController();
  /** Milliseconds to wait after a displacement. */
  #backoff = 0;

  constructor(
    options: {
      store: EraCheckedStore;
      instance: string;
      log: EventLog;
      clock: () => number;
      contact: StoreContact;
    },
  ) {
    this.#contact = options.contact;
    this.#store = options.store;
    this.#instance = options.instance;
    this.#key = MEMBER_PREFIX + options.instance;
    this.#log = options.log;
    this.#clock = options.clock;
    options.contact.onRestore(() => this.#handleRestore());
  }

  /**
   * True while the other entries certainly count this one. `isRegistered`: its
   * name is in the member list. Until this process has registered, such a
   * registration is left from an earlier start, which the others count just the
   * same. Afterwards its own lease decides, as the member list may be out of
   * date.
   */
  isCounted(now: number, isRegistered: boolean): boolean {
    if (this.#leaseExpiresAt === -Infinity) return isRegistered;
    return now < this.#leaseExpiresAt + UNREGISTERED_GRACE_PERIOD;
  }

  /** Keeps the entry registered; `address` is where other entries connect. */
  async run(address: Address): Promise<void> {
    const member: Member = { instance: this.#instance, ...address };
    const { signal } = this.#stopController;
    while (!signal.aborted) {
      const displacement = this.#displacement.signal;
      const succeeded = this.#registered
        ? await this.#renew()
        : await this.#register(member);
      const duration = succeeded ? RENEWAL_INTERVAL : RETRY_DELAY;
      const { availabilityChange } = this.#contact;
      await pause(duration, signal, availabilityChange, displacement);
      if (displacement.aborted) await pause(this.#backoff, signal);
    }
  }

  /** Returns a listener for the keys of entries, which notices this one's. */
  keyListener(): PrefixListener {
    return new StateListener({
      onSnapshot: (items, asOf) => {
        const own = items.find(({ key }) => key === this.#key);
        const revision = own?.revision ?? asOf.revision;
        this.#recordKeyPosition({ era: asOf.era, revision });
      },
      onChange: (change, era) => {
        const { key, revision } = change.kind === "written"
          ? change.item
          : change;
        if (key === this.#key) this.#recordKeyPosition({ era, revision });
      },
    });
  }

  #recordKeyPosition(position: StorePosition): void {
    if (isLater(position, this.#keyPosition)) this.#keyPosition = position;
    this.#checkKey();
  }

  /** Starts over if the key has changed since this process wrote it. */
  #checkKey(): void {
    const isStopping = this.#stopController.signal.aborted;
    if (!this.#registered || isStopping) return;
    if (!isLater(this.#keyPosition, this.#writtenAs)) return;
    const { revision, era } = this.#keyPosition;
    this.#log.write({ event: "registration_displaced", revision, era });
    this.#endRegistration();
    const heldFor = this.#clock() - this.#writtenAt;
    this.#backoff = heldFor >= LEASE_DURATION
      ? 0
      : Math.min(Math.max(RETRY_DELAY, this.#backoff * 2), MAXIMUM_BACKOFF);
    const displacement = this.#displacement;
    this.#displacement = new AbortController();
    displacement.abort();
  }

  /** Ends the registration, so that no other entry waits for this one. */
  async leave(): Promise<void> {
    this.#stopController.abort();
    // The number of an older lease may belong to another entry.
    if (this.#lease?.era !== this.#contact.era) return;
    if (this.#lease !== undefined) {
      await this.#store.revokeLease(this.#lease.id);
    }
  }

  /** Other entries that read the restored store no longer find this one. */
  #handleRestore(): void {
    this.#endRegistration();
  }

  /** Others may have counted this entry for the last time when confirmed. */
  #endRegistration(): void {
    this.#registered = false;
    this.#leaseExpiresAt = Math.min(this.#leaseExpiresAt, this.#confirmedAt);
  }

  async #register(member: Member): Promise<boolean> {
    const startedAt = this.#clock();
    const [lease, found] = await Promise.all([
      this.#store.grantLease(LEASE_DURATION),
      this.#readRevision(),
    ]);
    if (lease.isErr) return this.#recordFailure(lease.error, startedAt);
    if (found.isErr) return this.#recordFailure(found.error, startedAt);
    this.#contact.recordStoreResponse();
    this.#lease = lease.value;
    const { revision, era: readEra } = found.value;
    if (readEra !== lease.value.era) return false;
    const written = await this.#store.transact({
      expected: [{ key: this.#key, revision }],
      writes: [{
        key: this.#key,
        value: JSON.stringify(member),
        lease: lease.value.id,
      }],
      removals: [],
    });
    if (written.isErr) return this.#recordFailure(written.error, startedAt);
    this.#contact.recordStoreResponse();
    const { era, ...outcome } = written.value;
    if (outcome.kind !== "committed" || era !== lease.value.era) {
      const { kind } = outcome;
      this.#log.write({ event: "registration_refused", kind, era });
      return false;
    }
    this.#registered = true;
    this.#writtenAs = { era, revision: outcome.revision };
    this.#writtenAt = startedAt;
    this.#recordValidLease(startedAt);
    this.#log.write({ event: "registered", lease: lease.value.id, era });
    this.#checkKey();
    return this.#registered;
  }

  /** Reads the revision of the entry's key; 0 if it is absent. */
  async #readRevision(): Promise<
    Result<{ revision: number; era: number }, PlatformError>
  > {
    const page = await this.#store.readPage(this.#key);
    return page.map(({ items, era }) => {
      const own = items.find(({ key }) => key === this.#key);
      return { revision: own?.revision ?? 0, era };
    });
  }

  #recordValidLease(startedAt: number): void {
    this.#confirmedAt = startedAt;
    this.#leaseExpiresAt = startedAt + LEASE_DURATION;
  }

  async #renew(): Promise<boolean> {
    const startedAt = this.#clock();
    const id = this.#lease?.id ?? 0;
    const renewal = await this.#store.renewLease(id);
    if (renewal.isErr) return this.#recordFailure(renewal.error, startedAt);
    this.#contact.recordStoreResponse();
    const { renewed, era } = renewal.value;
    if (!this.#registered) return false;
    if (renewed && era === this.#lease?.era) {
      this.#recordValidLease(startedAt);
      return true;
    }
    this.#registered = false;
    this.#log.write({ event: "registration_lapsed", lease: id, era });
    return false;
  }

  #recordFailure(error: PlatformError, startedAt: number): false {
    const time = this.#clock() - startedAt;
    this.#contact.recordStoreFailure({ error, prefix: "", time });
    return false;
  }
}
