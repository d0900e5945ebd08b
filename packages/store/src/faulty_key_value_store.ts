/** A key-value service with faults that a test plans, write by write. @module */
import { Result } from "true-myth/result";
import { KeyValueStore } from "./key_value_store.ts";
import type {
  KeyValueEntry,
  SwapOptions,
  SwapOutcome,
  WatchOptions,
  WatchOutcome,
} from "./key_value_store.ts";
import type { PlatformError } from "./platform_error.ts";

/**
 * What befalls a write. `lost_answer`: it takes effect, the caller does not
 * learn it. `lost_request`: it never arrives, the caller does not learn that.
 * `late_request`: as lost, but it arrives at the next `deliver`.
 */
export type WriteFault =
  | "none"
  | "lost_answer"
  | "lost_request"
  | "late_request";

/** Stands before another store. */
export class FaultyKeyValueStore extends KeyValueStore {
  /** Every call fails without effect, and says so. */
  outage = false;
  /** Faults of the coming writes, the next one first. */
  readonly writeFaults: WriteFault[] = [];
  /** Writes that reached the store. */
  writesReceived = 0;
  readonly #inner: KeyValueStore;
  readonly #late: SwapOptions[] = [];

  constructor(inner: KeyValueStore) {
    super();
    this.#inner = inner;
  }

  override get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    return this.#unlessOutage("get", () => this.#inner.get(key));
  }

  override watch(
    options: WatchOptions,
  ): Promise<Result<WatchOutcome, PlatformError>> {
    return this.#unlessOutage("watch", () => this.#inner.watch(options));
  }

  override compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const step = "compare-and-swap";
    return this.#unlessOutage(step, () => this.#swap(options));
  }

  override grantLease(
    duration: number,
  ): Promise<Result<string, PlatformError>> {
    const step = "grant lease";
    return this.#unlessOutage(step, () => this.#inner.grantLease(duration));
  }

  override renewLease(lease: string): Promise<Result<boolean, PlatformError>> {
    const step = "renew lease";
    return this.#unlessOutage(step, () => this.#inner.renewLease(lease));
  }

  override revokeLease(lease: string): Promise<Result<void, PlatformError>> {
    const step = "revoke lease";
    return this.#unlessOutage(step, () => this.#inner.revokeLease(lease));
  }

  /** Lets the late writes arrive. */
  async deliverLateWrites(): Promise<void> {
    for (const options of this.#late.splice(0)) {
      this.writesReceived += 1;
      await this.#inner.compareAndSwap(options);
    }
  }

  async #swap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const fault = this.writeFaults.shift() ?? "none";
    if (fault === "late_request") {
      this.#late.push(options);
    }
    if (fault === "late_request" || fault === "lost_request") {
      return Result.err(lost());
    }
    this.writesReceived += 1;
    const outcome = await this.#inner.compareAndSwap(options);
    return fault === "lost_answer" ? Result.err(lost()) : outcome;
  }

  #unlessOutage<Value>(
    step: string,
    call: () => Promise<Result<Value, PlatformError>>,
  ): Promise<Result<Value, PlatformError>> {
    if (!this.outage) {
      return call();
    }
    return Promise.resolve(Result.err({
      step,
      peer: "faulty",
      reason: "unreachable",
      applied: "no",
      detail: "outage",
    }));
  }
}

function lost(): PlatformError {
  return {
    step: "compare-and-swap",
    peer: "faulty",
    reason: "timeout",
    applied: "unknown",
    detail: "no answer",
  };
}
