/**
 * The claims of one shard as one process sees them. A single loop commits the
 * waiting operations together, so that a burst of requests costs a few writes.
 * @module
 */
import { Result } from "true-myth/result";
import type { KeyValueStore } from "../key_value_store.ts";
import type { PlatformError } from "../platform_error.ts";
import type { ClaimAnswer } from "./claim_answer.ts";
import type { CommitPace } from "./commit_pace.ts";
import { commitBatch } from "./commit_batch.ts";
import type { CachedHead, CommitOutcome } from "./commit_batch.ts";
import type { Operation } from "./operation.ts";
import { SealedClaims } from "./sealed_claims.ts";

/** Operations in one write. */
const BATCH_LENGTH = 200;
/** Operations that may wait; outcomes have bodies, so they bound memory. */
const WAITING_LENGTH = 200;
/** Milliseconds after which an outcome or a release is given up. */
const SETTLEMENT_DURATION = 10 * 60 * 1000;
const LONGEST_PAUSE = 15_000;

/** What a shard needs. */
export type ShardOptions = {
  store: KeyValueStore;
  key: string;
  /** Milliseconds that claims are kept once settled. */
  retention: () => number;
  pace: CommitPace;
  pause: (duration: number) => Promise<void>;
  random: () => number;
  /** Milliseconds since 1970. */
  now: () => number;
  /** Milliseconds that outcomes wait for company. */
  settlementDelay: number;
  /** Milliseconds after which a claim fails closed. */
  claimTimeout: number;
};

type Settled = Result<ClaimAnswer | undefined, PlatformError>;

type Waiting = {
  operation: Operation;
  settle: (outcome: Settled) => void;
  /** Milliseconds since 1970 from which it is not tried again. */
  givenUpAt: number;
  /** Nobody waits for the answer any more. */
  abandoned: boolean;
};

/** See the module. */
export class ClaimShard {
  readonly #options: ShardOptions;
  readonly #sealed: SealedClaims;
  #waiting: Waiting[] = [];
  #running: Promise<void> | undefined;
  #failuresInRow = 0;
  #cached: CachedHead | undefined;
  #claimArrived: () => void = () => {};

  constructor(options: ShardOptions) {
    this.#options = options;
    this.#sealed = new SealedClaims(options.store);
  }

  /** Resolves once the operation is committed, or will not be. */
  submit(operation: Operation): Promise<Settled> {
    if (this.#waiting.length >= WAITING_LENGTH) {
      return Promise.resolve(Result.err(this.#full()));
    }
    return new Promise((settle) => {
      const waiting = this.#enqueue(operation, settle);
      if (operation.type === "claim") {
        this.#claimArrived();
        void this.#options.pause(this.#options.claimTimeout)
          .then(() => this.#abandon(waiting));
      }
    });
  }

  /** Resolves when nothing waits any more. */
  async drained(): Promise<void> {
    while (this.#running !== undefined) {
      await this.#running;
    }
  }

  #enqueue(operation: Operation, settle: (outcome: Settled) => void): Waiting {
    const givenUpAt = this.#options.now() + SETTLEMENT_DURATION;
    const waiting = { operation, settle, givenUpAt, abandoned: false };
    this.#waiting.push(waiting);
    this.#start();
    return waiting;
  }

  /** What is enqueued while a loop ends has to start another. */
  #start(): void {
    this.#running ??= this.#run().finally(() => {
      this.#running = undefined;
      if (this.#waiting.length > 0) {
        this.#start();
      }
    });
  }

  async #run(): Promise<void> {
    while (this.#waiting.length > 0) {
      await this.#untilDue();
      await this.#options.pace.turn();
      const batch = this.#waiting.splice(0, BATCH_LENGTH);
      if (batch.length === 0) {
        continue;
      }
      const outcome = await commitBatch({
        ...this.#options,
        cached: this.#cached,
        sealed: this.#sealed,
        operations: batch.map(({ operation }) => operation),
      });
      this.#cached = outcome.cached;
      this.#settle(batch, outcome);
    }
  }

  /** A claim goes at once; outcomes wait for company, or until the service is back. */
  #untilDue(): Promise<void> {
    if (this.#waiting.some(({ operation }) => operation.type === "claim")) {
      return Promise.resolve();
    }
    const { pause, settlementDelay, random } = this.#options;
    const backoff = settlementDelay * 2 ** Math.min(this.#failuresInRow, 10);
    const delay = Math.min(LONGEST_PAUSE, backoff) * (0.5 + random());
    const arrived = new Promise<void>((resolve) => {
      this.#claimArrived = resolve;
    });
    return Promise.race([pause(delay), arrived]);
  }

  #settle(batch: Waiting[], outcome: CommitOutcome): void {
    if (outcome.answers.isOk) {
      this.#failuresInRow = 0;
      for (const waiting of batch) {
        this.#committed(waiting, outcome.answers.value.get(waiting.operation));
      }
      return;
    }
    this.#failuresInRow += 1;
    for (const waiting of batch) {
      this.#failed(waiting, outcome.answers.error);
    }
  }

  #committed(waiting: Waiting, answer: ClaimAnswer | undefined): void {
    if (waiting.abandoned && answer?.kind === "claimed") {
      this.#release(waiting.operation);
    }
    waiting.settle(Result.ok(answer));
  }

  /**
   * A claim fails closed: its request is not dispatched. If its write may still
   * land, it is released. Outcomes and releases are tried again, because without
   * them a resend would be told "unknown".
   */
  #failed(waiting: Waiting, error: PlatformError): void {
    const { operation, settle } = waiting;
    if (
      operation.type !== "claim" && this.#options.now() < waiting.givenUpAt
    ) {
      this.#waiting.push(waiting);
      return;
    }
    if (operation.type === "claim" && error.applied === "unknown") {
      this.#release(operation);
    }
    settle(Result.err(error));
  }

  /**
   * While the service hangs, a caller would wait for several timeouts only to be
   * refused. Its claim is refused earlier, and released if it lands after all.
   */
  #abandon(waiting: Waiting): void {
    waiting.abandoned = true;
    const remaining = this.#waiting.filter((other) => other !== waiting);
    const sent = remaining.length === this.#waiting.length;
    this.#waiting = remaining;
    waiting.settle(Result.err({
      step: "claim",
      peer: this.#options.key,
      reason: "timeout",
      applied: sent ? "unknown" : "no",
      detail: `no answer within ${this.#options.claimTimeout} ms`,
    }));
  }

  #release({ identity, claimant }: Operation): void {
    this.#enqueue({ type: "release", identity, claimant }, () => {});
  }

  #full(): PlatformError {
    return {
      step: "claim",
      peer: this.#options.key,
      reason: "budget",
      applied: "no",
      detail: `${WAITING_LENGTH} operations wait for the key-value service`,
    };
  }
}
