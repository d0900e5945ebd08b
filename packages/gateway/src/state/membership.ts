/**
 * Registers this entry in the store under a lease, so that others find it and
 * count it in the fleet.
 * @module
 */
import { UNREGISTERED_GRACE_PERIOD } from "@sycamorepulley/decisions";
import type { MetadataStore, PlatformError } from "@sycamorepulley/store";
import type { EventLog } from "../observe/event_log.ts";
import type { Address } from "../settings.ts";
import type { Member } from "./fleet_state.ts";
import { pause } from "./pause.ts";
import type { StoreContact } from "./store_contact.ts";

/** Prefix of the keys under which entries register. */
export const MEMBER_PREFIX = "sycamorepulley/entries/";
/**
 * Milliseconds until the entry of a dead process is dropped. Long enough for a
 * few lost renewals, short against a window of quotas of 8 s.
 */
const LEASE_DURATION = 4000;
const RENEW_EVERY = 1000;
const RETRY_AFTER = 400;

/** Keeps the entry registered until {@link Membership.leave}. */
export class Membership {
  readonly #store: MetadataStore;
  readonly #instance: string;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #contact: StoreContact;
  readonly #stop = new AbortController();
  #lease: number | undefined;
  #registered = false;
  #validUntil = -Infinity;

  constructor(
    options: {
      store: MetadataStore;
      instance: string;
      log: EventLog;
      clock: () => number;
      contact: StoreContact;
    },
  ) {
    this.#contact = options.contact;
    this.#store = options.store;
    this.#instance = options.instance;
    this.#log = options.log;
    this.#clock = options.clock;
  }

  /**
   * True while the other entries certainly count this one. `named`: its name is
   * registered. Until it has registered itself that is by an earlier start, which
   * the others count just the same; later its own lease tells, as what it read
   * may be old.
   */
  counted(now: number, named: boolean): boolean {
    if (this.#validUntil === -Infinity) return named;
    return now < this.#validUntil + UNREGISTERED_GRACE_PERIOD;
  }

  /** `address`: where other entries connect. */
  async run(address: Address): Promise<void> {
    const member: Member = { instance: this.#instance, ...address };
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const kept = this.#registered
        ? await this.#renew()
        : await this.#register(member);
      const duration = kept ? RENEW_EVERY : RETRY_AFTER;
      await pause(duration, signal, this.#contact.turn);
    }
  }

  /** Takes the entry out, so that nobody waits for it. */
  async leave(): Promise<void> {
    this.#stop.abort();
    if (this.#lease === undefined) return;
    await this.#store.endLease(this.#lease);
  }

  async #register(member: Member): Promise<boolean> {
    const startedAt = this.#clock();
    const lease = await this.#store.grantLease(LEASE_DURATION);
    if (lease.isErr) return this.#failed(lease.error, startedAt);
    this.#contact.heard();
    this.#lease = lease.value;
    const written = await this.#store.transact({
      expected: [],
      writes: [{
        key: MEMBER_PREFIX + member.instance,
        value: JSON.stringify(member),
        lease: lease.value,
      }],
      removals: [],
    });
    if (written.isErr) return this.#failed(written.error, startedAt);
    this.#contact.heard();
    if (written.value.kind !== "committed") return false;
    this.#registered = true;
    this.#validUntil = startedAt + LEASE_DURATION;
    this.#log.write({ event: "registered", lease: lease.value });
    return true;
  }

  async #renew(): Promise<boolean> {
    const startedAt = this.#clock();
    const renewed = await this.#store.renewLease(this.#lease ?? 0);
    if (renewed.isErr) return this.#failed(renewed.error, startedAt);
    this.#contact.heard();
    if (renewed.value) {
      this.#validUntil = startedAt + LEASE_DURATION;
      return true;
    }
    this.#registered = false;
    this.#log.write({ event: "registration_lapsed", lease: this.#lease ?? 0 });
    return false;
  }

  #failed(error: PlatformError, startedAt: number): false {
    const time = this.#clock() - startedAt;
    this.#contact.failed({ error, prefix: "", time });
    return false;
  }
}
