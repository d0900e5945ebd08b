/**
 * One process's access to one shard of the claims. A single loop commits the
 * pending operations in batches, so that a burst of requests takes only a few
 * writes.
 * @module
 */
import { Result } from "true-myth/result";
import type { KeyValueStore } from "../key_value_store.ts";
import type { PlatformError } from "../platform_error.ts";
import type { ClaimResult } from "./claim_result.ts";
import type { CommitRateLimiter } from "./commit_rate_limiter.ts";
import { commitBatch } from "./commit_batch.ts";
import type { CachedHead, CommitOutcome } from "./commit_batch.ts";
import type { Operation } from "./operation.ts";
import { SealedClaims } from "./sealed_claims.ts";

/** Operations in one write. */
const MAX_BATCH_OPERATIONS = 200;
/** Operations that may be pending; bounds memory, as outcomes have bodies. */
const MAX_PENDING_OPERATIONS = 200;
/**
 * Milliseconds after which storing an outcome, a release or lost claims is given
 * up.
 */
const SETTLEMENT_TIMEOUT = 10 * 60 * 1000;
/** Milliseconds, before jitter, that outcomes wait at most after failures. */
const MAX_BACKOFF = 15_000;

/** Options of a {@link ClaimShard}. */
export type ClaimShardOptions = {
  store: KeyValueStore;
  key: string;
  /** Milliseconds that settled claims are kept. */
  retention: () => number;
  rateLimiter: CommitRateLimiter;
  pause: (duration: number) => Promise<void>;
  random: () => number;
  /** Milliseconds since 1970. */
  now: () => number;
  /** Milliseconds that outcomes and releases wait to share a write. */
  batchDelay: number;
  /** Milliseconds until a claim fails, and its request is not dispatched. */
  claimTimeout: number;
};

type OperationResult = Result<ClaimResult | undefined, PlatformError>;

type PendingOperation = {
  operation: Operation;
  resolve: (outcome: OperationResult) => void;
  /** Milliseconds since 1970 after which an outcome or release is given up. */
  retryDeadline: number;
  /** The claim has timed out: nobody waits for its result any more. */
  abandoned: boolean;
};

/** Queues the operations on a shard and commits them in batches. */
export class ClaimShard {
  readonly #options: ClaimShardOptions;
  readonly #sealed: SealedClaims;
  #pending: PendingOperation[] = [];
  #loop: Promise<void> | undefined;
  #consecutiveFailures = 0;
  #cached: CachedHead | undefined;
  #lastKnown: CachedHead | undefined;
  /**
   * Milliseconds since 1970 until which claims that a restored service may have
   * lost are written again; undefined if there are none.
   */
  #lostClaimsDeadline: number | undefined;
  /** Ends the time that outcomes and releases wait for their commit. */
  #endDelay: () => void = () => {};

  constructor(options: ClaimShardOptions) {
    this.#options = options;
    this.#sealed = new SealedClaims(options.store);
    options.store.onRestore(() => this.#handleRestore());
  }

  /** Resolves once the operation is committed or has finally failed. */
  submit(operation: Operation): Promise<OperationResult> {
    if (this.#pending.length >= MAX_PENDING_OPERATIONS) {
      return Promise.resolve(Result.err(this.#queueFullError()));
    }
    return new Promise((resolve) => {
      const pending = this.#enqueue(operation, resolve);
      if (operation.type === "claim") {
        this.#endDelay();
        void this.#options.pause(this.#options.claimTimeout)
          .then(() => this.#abandon(pending));
      }
    });
  }

  /** Resolves when no operation is pending any more. */
  async waitForDrain(): Promise<void> {
    while (this.#loop !== undefined) {
      await this.#loop;
    }
  }

  #enqueue(
    operation: Operation,
    resolve: (outcome: OperationResult) => void,
  ): PendingOperation {
    const retryDeadline = this.#options.now() + SETTLEMENT_TIMEOUT;
    const pending = { operation, resolve, retryDeadline, abandoned: false };
    this.#pending.push(pending);
    this.#startLoop();
    return pending;
  }

  /** An operation that is enqueued while a loop ends starts another loop. */
  #startLoop(): void {
    this.#loop ??= this.#runLoop().finally(() => {
      this.#loop = undefined;
      if (this.#hasWork()) {
        this.#startLoop();
      }
    });
  }

  async #runLoop(): Promise<void> {
    while (this.#hasWork()) {
      const hasLostClaims = this.#lostClaimsDeadline !== undefined;
      if (!hasLostClaims) await this.#waitUntilDue();
      await this.#options.rateLimiter.waitForTurn();
      const batch = this.#pending.splice(0, MAX_BATCH_OPERATIONS);
      if (batch.length === 0 && !hasLostClaims) {
        continue;
      }
      const outcome = await commitBatch({
        ...this.#options,
        cached: this.#cached,
        lastKnown: this.#lastKnown,
        sealed: this.#sealed,
        operations: batch.map(({ operation }) => operation),
      });
      this.#cached = outcome.cached;
      this.#lastKnown = outcome.lastKnown;
      this.#resolveBatch(batch, outcome);
      if (hasLostClaims) await this.#settleLostClaims(outcome);
    }
  }

  #hasWork(): boolean {
    return this.#pending.length > 0 || this.#lostClaimsDeadline !== undefined;
  }

  /**
   * Writes lost claims again without delay, since another process may claim
   * their keys meanwhile.
   */
  #handleRestore(): void {
    if (this.#lastKnown === undefined) return;
    this.#lostClaimsDeadline = this.#options.now() + SETTLEMENT_TIMEOUT;
    this.#cached = undefined;
    this.#endDelay();
    this.#startLoop();
  }

  /** A failed commit is repeated after a pause. */
  async #settleLostClaims(outcome: CommitOutcome): Promise<void> {
    const { store, batchDelay, pause, now } = this.#options;
    const isWritten = outcome.results.isOk &&
      this.#lastKnown?.era === store.era;
    const isOver = now() >= (this.#lostClaimsDeadline ?? 0);
    if (isWritten || isOver) this.#lostClaimsDeadline = undefined;
    else await pause(batchDelay);
  }

  /**
   * Claims are committed at once. Without any, outcomes and releases wait for
   * others to share their write, or for a backoff after failures.
   */
  #waitUntilDue(): Promise<void> {
    if (this.#pending.some(({ operation }) => operation.type === "claim")) {
      return Promise.resolve();
    }
    const { pause, batchDelay, random } = this.#options;
    const backoff = batchDelay * 2 ** Math.min(this.#consecutiveFailures, 10);
    const delay = Math.min(MAX_BACKOFF, backoff) * (0.5 + random());
    const ended = new Promise<void>((resolve) => {
      this.#endDelay = resolve;
    });
    return Promise.race([pause(delay), ended]);
  }

  #resolveBatch(batch: PendingOperation[], outcome: CommitOutcome): void {
    if (outcome.results.isOk) {
      this.#consecutiveFailures = 0;
      for (const pending of batch) {
        this.#resolveCommitted(
          pending,
          outcome.results.value.get(pending.operation),
        );
      }
      return;
    }
    this.#consecutiveFailures += 1;
    for (const pending of batch) {
      this.#handleFailure(pending, outcome.results.error);
    }
  }

  #resolveCommitted(
    pending: PendingOperation,
    result: ClaimResult | undefined,
  ): void {
    if (pending.abandoned && result?.kind === "claimed") {
      this.#release(pending.operation);
    }
    pending.resolve(Result.ok(result));
  }

  /**
   * A claim fails closed: its request is not dispatched. If its write may still
   * take effect, it is released. Outcomes and releases are retried, because
   * without them a retry of the request would get "unknown".
   */
  #handleFailure(pending: PendingOperation, error: PlatformError): void {
    const { operation, resolve } = pending;
    if (
      operation.type !== "claim" && this.#options.now() < pending.retryDeadline
    ) {
      this.#pending.push(pending);
      return;
    }
    if (operation.type === "claim" && error.applied === "unknown") {
      this.#release(operation);
    }
    resolve(Result.err(error));
  }

  /**
   * While the service hangs, a caller would wait for several timeouts only to
   * be refused. Its claim fails earlier, and is released if it is committed
   * after all.
   */
  #abandon(pending: PendingOperation): void {
    pending.abandoned = true;
    const remaining = this.#pending.filter((other) => other !== pending);
    const sent = remaining.length === this.#pending.length;
    this.#pending = remaining;
    pending.resolve(Result.err({
      step: "claim",
      peer: this.#options.key,
      reason: "timeout",
      applied: sent ? "unknown" : "no",
      detail: `no response within ${this.#options.claimTimeout} ms`,
    }));
  }

  #release({ identity, claimant }: Operation): void {
    this.#enqueue({ type: "release", identity, claimant }, () => {});
  }

  #queueFullError(): PlatformError {
    return {
      step: "claim",
      peer: this.#options.key,
      reason: "budget",
      applied: "no",
      detail:
        `${MAX_PENDING_OPERATIONS} operations wait for the key-value service`,
    };
  }
}
