/** A key-value service with write faults that a test injects. @module */
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
 * Fault of a write. `lost_answer`: it takes effect, but its response is lost.
 * `lost_request`: it never arrives, and gets no response. `late_request`: gets
 * no response either, but arrives at the next `deliverLateWrites`.
 */
export type WriteFault =
  | "none"
  | "lost_answer"
  | "lost_request"
  | "late_request";

/** Wraps another store. */
export class FaultyKeyValueStore extends KeyValueStore {
  /** While true, every call fails without effect, with `applied: "no"`. */
  outage = false;
  /** Faults of the next writes, in order; writes after them have none. */
  readonly writeFaults: WriteFault[] = [];
  /** Writes that reached the store. */
  writesReceived = 0;
  readonly #inner: KeyValueStore;
  readonly #lateWrites: SwapOptions[] = [];

  constructor(inner: KeyValueStore) {
    super();
    this.#inner = inner;
  }

  override get era(): number {
    return this.#inner.era;
  }

  override onRestore(listener: () => void): void {
    this.#inner.onRestore(listener);
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

  /** Applies the writes with the fault `late_request`. */
  async deliverLateWrites(): Promise<void> {
    for (const options of this.#lateWrites.splice(0)) {
      this.writesReceived += 1;
      await this.#inner.compareAndSwap(options);
    }
  }

  async #swap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const fault = this.writeFaults.shift() ?? "none";
    if (fault === "late_request") {
      this.#lateWrites.push(options);
    }
    if (fault === "late_request" || fault === "lost_request") {
      return Result.err(lostWriteError());
    }
    this.writesReceived += 1;
    const outcome = await this.#inner.compareAndSwap(options);
    return fault === "lost_answer" ? Result.err(lostWriteError()) : outcome;
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

function lostWriteError(): PlatformError {
  return {
    step: "compare-and-swap",
    peer: "faulty",
    reason: "timeout",
    applied: "unknown",
    detail: "no response",
  };
}
