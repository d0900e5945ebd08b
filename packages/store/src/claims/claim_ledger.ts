/**
 * Ensures that each non-idempotent request runs at most once in the whole
 * fleet. Its idempotency key is claimed in the platform's key-value service
 * before it is dispatched; its outcome is stored there for retries. See
 * docs/design/idempotency.md.
 * @module
 */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Result } from "true-myth/result";
import { CallBudget } from "../call_budget.ts";
import type { CallBudgetOptions } from "../call_budget.ts";
import type { KeyValueStore } from "../key_value_store.ts";
import type { PlatformError } from "../platform_error.ts";
import type { ClaimResult, HeldClaim } from "./claim_result.ts";
import { claimIdentity, SHARD_COUNT, shardOf } from "./claim_identity.ts";
import type { ClaimKey } from "./claim_identity.ts";
import { ClaimShard } from "./claim_shard.ts";
import {
  claimCommitBudgetOptions,
  CommitRateLimiter,
} from "./commit_rate_limiter.ts";
import { toStoredResponse } from "./recorded_response.ts";
import type { RecordedResponse } from "./recorded_response.ts";

/** Milliseconds that outcomes are kept. */
const DEFAULT_RETENTION = 24 * 60 * 60 * 1000;
/** Milliseconds within which a claimed request is expected to end. */
const DEFAULT_DURATION = 10 * 60 * 1000;
/** Milliseconds. */
const DEFAULT_CLAIM_TIMEOUT = 2000;
/** Milliseconds. */
const DEFAULT_BATCH_DELAY = 300;
/** Processes. */
const DEFAULT_FLEET_SIZE = 30;

/** Options of a ledger; the defaults suit a process in a small fleet. */
export type ClaimLedgerOptions = {
  store: KeyValueStore;
  /** Unique to one start of one process. */
  incarnation?: string;
  /** Milliseconds that the outcomes of a service are kept. */
  retention?: (service: string) => number;
  /** Calls of this process for each service; see `claimCommitBudgetOptions`. */
  commitBudget?: CallBudgetOptions;
  /** Milliseconds until a claim fails, and its request is not dispatched. */
  claimTimeout?: number;
  /** Milliseconds that outcomes and releases wait to share a write. */
  batchDelay?: number;
  /** Prefix of the keys in the key-value service. */
  prefix?: string;
  /** Resolves after `duration` milliseconds. */
  pause?: (duration: number) => Promise<void>;
  random?: () => number;
  /** Monotonic clock in milliseconds, for the rate of commits. */
  clock?: () => number;
  /** Milliseconds since 1970. */
  wallClock?: () => number;
};

/** A request that must not run twice. */
export type ClaimRequest = ClaimKey & {
  /** Hash of method, path and body; a retry has the same. */
  fingerprint: string;
  /** Milliseconds since 1970. */
  now: number;
  /** Milliseconds from `now` within which the outcome will be recorded. */
  duration?: number;
};

/** Results of claims since the start, by kind; `failed` are errors. */
export type ClaimCounts = Record<ClaimResult["kind"] | "failed", number>;

/** Claims, records and releases idempotency keys. One for each process. */
export class ClaimLedger {
  readonly counts: ClaimCounts = {
    claimed: 0,
    done: 0,
    running: 0,
    unknown: 0,
    reused: 0,
    failed: 0,
  };
  readonly #incarnation: string;
  readonly #options: ClaimLedgerOptions;
  readonly #shardsByService = new Map<string, ClaimShard[]>();
  #attempts = 0;

  constructor(options: ClaimLedgerOptions) {
    this.#incarnation = options.incarnation ?? randomUUID();
    this.#options = options;
  }

  /**
   * Claims the request's key. After an error the request must not be
   * dispatched, and its caller can be told truthfully that this attempt did not
   * run.
   */
  async claim(
    request: ClaimRequest,
  ): Promise<Result<ClaimResult, PlatformError>> {
    this.#attempts += 1;
    const identity = claimIdentity(request);
    const result = await this.#shard(request.service, identity).submit({
      type: "claim",
      service: request.service,
      identity,
      claimant: `${this.#incarnation}:${this.#attempts}`,
      fingerprint: request.fingerprint,
      runsUntil: request.now + (request.duration ?? DEFAULT_DURATION),
      now: request.now,
    });
    this.counts[result.isOk ? (result.value?.kind ?? "failed") : "failed"] += 1;
    return result.map((result) => result as ClaimResult);
  }

  /**
   * Stores the outcome of a dispatched request; `"unknown"` if its link was
   * lost. Resolves once stored; the response to the caller need not wait for
   * that.
   */
  async record(
    options: { claim: HeldClaim; outcome: RecordedResponse | "unknown" },
  ): Promise<Result<void, PlatformError>> {
    const { claim, outcome } = options;
    const { service, identity, claimant } = claim;
    const stored = await this.#shard(service, identity).submit({
      type: "record",
      identity,
      claimant,
      outcome: outcome === "unknown" ? outcome : toStoredResponse(outcome),
    });
    return stored.map(() => undefined);
  }

  /** Releases the key of a request that certainly did not run. */
  async release(claim: HeldClaim): Promise<Result<void, PlatformError>> {
    const { service, identity, claimant } = claim;
    const released = await this.#shard(service, identity)
      .submit({ type: "release", identity, claimant });
    return released.map(() => undefined);
  }

  /** Resolves when all outcomes and releases are stored or given up. */
  async waitForDrain(): Promise<void> {
    const shards = [...this.#shardsByService.values()].flat();
    await Promise.all(shards.map((shard) => shard.waitForDrain()));
  }

  /** Shards are per service: a flood of claims for one delays no other. */
  #shard(service: string, identity: string): ClaimShard {
    const shards = this.#shardsByService.get(service) ??
      createShards(this.#options, service);
    this.#shardsByService.set(service, shards);
    return shards[shardOf(identity)] as ClaimShard;
  }
}

function createShards(
  options: ClaimLedgerOptions,
  service: string,
): ClaimShard[] {
  const {
    store,
    retention = () => DEFAULT_RETENTION,
    claimTimeout = DEFAULT_CLAIM_TIMEOUT,
    batchDelay = DEFAULT_BATCH_DELAY,
    prefix = "claims",
    pause = (duration) => sleep(duration),
    random = Math.random,
    clock = () => performance.now(),
    wallClock = () => Date.now(),
  } = options;
  const budget = new CallBudget(
    options.commitBudget ?? claimCommitBudgetOptions(DEFAULT_FLEET_SIZE),
  );
  const rateLimiter = new CommitRateLimiter({ budget, clock, pause });
  return Array.from({ length: SHARD_COUNT }, (_, index) =>
    new ClaimShard({
      store,
      key: `${prefix}/${service}/${SHARD_COUNT}/${index}`,
      retention: () => retention(service),
      rateLimiter,
      pause,
      random,
      now: wallClock,
      batchDelay,
      claimTimeout,
    }));
}
