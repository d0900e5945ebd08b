/**
 * Lets each non-idempotent request run at most once over the whole fleet. Its
 * idempotency key is claimed in the platform's key-value service before it is
 * dispatched; its outcome is kept there for resends. See
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
import type { ClaimAnswer, HeldClaim } from "./claim_answer.ts";
import { claimIdentity, shardOf, SHARDS } from "./claim_identity.ts";
import type { ClaimKey } from "./claim_identity.ts";
import { ClaimShard } from "./claim_shard.ts";
import { claimCommitBudgetOptions, CommitPace } from "./commit_pace.ts";
import { storeOutcome } from "./recorded_response.ts";
import type { RecordedResponse } from "./recorded_response.ts";

const DEFAULT_RETENTION = 24 * 60 * 60 * 1000;
const DEFAULT_DURATION = 10 * 60 * 1000;
const DEFAULT_CLAIM_TIMEOUT = 2000;
const DEFAULT_SETTLEMENT_DELAY = 300;
const DEFAULT_FLEET_SIZE = 30;

/** What a ledger needs; most have defaults for one process in a small fleet. */
export type ClaimLedgerOptions = {
  store: KeyValueStore;
  /** Unique to one start of one process. */
  incarnation?: string;
  /** Milliseconds that a service's outcomes are kept. */
  retention?: (service: string) => number;
  /** Writes of this process for each service; see `claimCommitOptions`. */
  commitBudget?: CallBudgetOptions;
  /** Milliseconds after which a claim fails closed. */
  claimTimeout?: number;
  /** Milliseconds that outcomes wait for company before they are written. */
  batchDelay?: number;
  /** Prefix of the keys. */
  prefix?: string;
  pause?: (duration: number) => Promise<void>;
  random?: () => number;
  /** Milliseconds of a clock that never steps back; spaces the commits. */
  clock?: () => number;
  /** Milliseconds since 1970. */
  wallClock?: () => number;
};

/** A request that must not run twice. */
export type ClaimRequest = ClaimKey & {
  /** Hash of method, path and body; a resend has the same. */
  fingerprint: string;
  /** Milliseconds since 1970. */
  now: number;
  /** Milliseconds from `now` within which the outcome will be recorded. */
  duration?: number;
};

/** Events since the start. */
export type ClaimCounts = Record<ClaimAnswer["kind"] | "failed", number>;

/** One for each process. */
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
  readonly #services = new Map<string, ClaimShard[]>();
  #attempts = 0;

  constructor(options: ClaimLedgerOptions) {
    this.#incarnation = options.incarnation ?? randomUUID();
    this.#options = options;
  }

  /**
   * Asks whether the request may be dispatched. An error means that it may not,
   * and that "not run" is true of this attempt.
   */
  async claim(
    request: ClaimRequest,
  ): Promise<Result<ClaimAnswer, PlatformError>> {
    this.#attempts += 1;
    const identity = claimIdentity(request);
    const answer = await this.#shard(request.service, identity).submit({
      type: "claim",
      service: request.service,
      identity,
      claimant: `${this.#incarnation}:${this.#attempts}`,
      fingerprint: request.fingerprint,
      runsUntil: request.now + (request.duration ?? DEFAULT_DURATION),
      now: request.now,
    });
    this.counts[answer.isOk ? (answer.value?.kind ?? "failed") : "failed"] += 1;
    return answer.map((answer) => answer as ClaimAnswer);
  }

  /**
   * Keeps what became of a dispatched request; `"unknown"` when its link was cut.
   * Resolves once stored; the caller need not be kept waiting for it.
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
      outcome: outcome === "unknown" ? outcome : storeOutcome(outcome),
    });
    return stored.map(() => undefined);
  }

  /** Frees the key of a request that certainly did not run. */
  async release(claim: HeldClaim): Promise<Result<void, PlatformError>> {
    const { service, identity, claimant } = claim;
    const released = await this.#shard(service, identity)
      .submit({ type: "release", identity, claimant });
    return released.map(() => undefined);
  }

  /** Resolves when all outcomes and releases are stored or given up. */
  async waitForDrain(): Promise<void> {
    const shards = [...this.#services.values()].flat();
    await Promise.all(shards.map((shard) => shard.drained()));
  }

  /** Each service has its own shards: one's flood fills no other's. */
  #shard(service: string, identity: string): ClaimShard {
    const shards = this.#services.get(service) ??
      createShards(this.#options, service);
    this.#services.set(service, shards);
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
    batchDelay: settlementDelay = DEFAULT_SETTLEMENT_DELAY,
    prefix = "claims",
    pause = (duration) => sleep(duration),
    random = Math.random,
    clock = () => performance.now(),
    wallClock = () => Date.now(),
  } = options;
  const budget = new CallBudget(
    options.commitBudget ?? claimCommitBudgetOptions(DEFAULT_FLEET_SIZE),
  );
  const pace = new CommitPace({ budget, clock, pause });
  return Array.from({ length: SHARDS }, (_, index) =>
    new ClaimShard({
      store,
      key: `${prefix}/${service}/${SHARDS}/${index}`,
      retention: () => retention(service),
      pace,
      pause,
      random,
      now: wallClock,
      settlementDelay,
      claimTimeout,
    }));
}
