/**
 * Outlier ejection: excludes backend servers that fail or are slow in
 * comparison with their peers, and readmits them after successful trials. One
 * instance for each service.
 *
 * Guards against a server that fails fast: it is always idle, so late binding
 * sends it the most requests, and each of them fails. A server that is merely
 * slow is granted fewer requests in any case; only one that is slower than
 * hardware differences explain is excluded. A fault that affects all servers
 * alike excludes none, and at most a share of the servers is excluded at a
 * time, since the others would be overloaded by their traffic.
 *
 * A server is excluded after 3 failures within about 10 s if they are half of
 * its calls and three times its peers' share; that distinguishes a broken
 * server from a few bad requests. A crash excludes it at once. Hardware
 * generations differ by a factor of 6 at most (speeds 0.4 to 2.5) and slowness
 * is relative to the expected time, so 4 times the median can't be explained by
 * the generation. The first ejection lasts 2 s, about an engine's shortest
 * pause, and each further one twice as long, up to a minute. Then one call at a
 * time is sent as a trial, and 3 successful ones readmit the server. A server
 * that fails only under load passes its trials, so the doubling is reset only
 * after a minute without ejection.
 * @module
 */
import { DecayingCount } from "./decaying_count.ts";
import { RunningMedian } from "./running_median.ts";
import { ServerHealth } from "./server_health.ts";
import type { FailureReason } from "./server_health.ts";

/** Maximum share of a service's servers that is excluded at a time. */
export const MAXIMUM_EJECTED_SHARE = 0.34;

const MINIMUM_FAILURES = 3;
const MINIMUM_FAILURE_SHARE = 0.5;
/** Factor over the peers' failure share from which a server is ejected. */
const PEERS_SHARE_FACTOR = 3;
/** Factor over the median slowness above which a server is ejected. */
const SLOWNESS_FACTOR = 4;
/** Observations of a server before its slowness is evaluated. */
const MINIMUM_OBSERVATIONS = 8;
/** Duration of the first ejection in milliseconds. */
const FIRST_EJECTION = 2000;
/** Maximum duration of an ejection in milliseconds. */
const MAXIMUM_EJECTION = 60_000;
/** Successful trial requests that readmit a server. */
const REQUIRED_TRIALS = 3;
/**
 * Milliseconds after which a trial without a result no longer blocks the next
 * one.
 */
const TRIAL_TIMEOUT = 30_000;

/** Tracks which servers of one service are excluded. */
export class OutlierEjection {
  readonly #servers = new Map<string, ServerHealth>();
  /** Ejected servers and those on trial, the earliest ejection first. */
  readonly #excluded = new Set<string>();
  readonly #totals = new DecayingCount();
  readonly #medianSlowness = new RunningMedian();

  add(name: string): void {
    if (!this.#servers.has(name)) this.#servers.set(name, new ServerHealth());
  }

  /** Removes a server, and readmits others if fewer may now be excluded. */
  remove(name: string): void {
    this.#servers.delete(name);
    this.#excluded.delete(name);
    for (const readmitted of this.#excluded) {
      if (this.#excluded.size <= this.#maximumExcluded()) break;
      this.#readmit(readmitted);
    }
  }

  /**
   * Whether the server may be sent a request: not while it is ejected or a
   * trial request is running.
   */
  allowed(name: string, now: number): boolean {
    const server = this.#servers.get(name);
    if (server === undefined || server.state === "included") return true;
    if (server.state === "ejected") {
      if (now < server.ejectedUntil) return false;
      server.state = "trial";
      server.successfulTrials = 0;
    }
    return now >= server.trialRunningUntil;
  }

  /** Records that a request was sent; on trial, one runs at a time. */
  recordStart(name: string, now: number): void {
    const server = this.#servers.get(name);
    if (server?.state === "trial") {
      server.trialRunningUntil = now + TRIAL_TIMEOUT;
    }
  }

  /**
   * Records a complete response. `slowness` is the measured time to first token
   * divided by the expected one.
   */
  recordSuccess(name: string, now: number, slowness?: number): void {
    const server = this.#servers.get(name);
    if (server === undefined) return;
    server.counts.add("success", now);
    this.#totals.add("success", now);
    if (slowness !== undefined) {
      this.#recordSlowness(name, server, slowness, now);
    }
    if (server.state !== "trial") return;
    server.trialRunningUntil = -Infinity;
    server.successfulTrials++;
    if (server.successfulTrials < REQUIRED_TRIALS) return;
    server.readmittedAt = now;
    this.#readmit(name);
  }

  /** Records a failure that the server caused, not the request. */
  recordFailure(name: string, reason: FailureReason, now: number): void {
    const server = this.#servers.get(name);
    if (server === undefined) return;
    server.counts.add("failure", now);
    this.#totals.add("failure", now);
    if (server.state === "trial") {
      this.#eject(name, server, now);
      return;
    }
    if (reason === "crash" || this.#failsMoreThanPeers(server, now)) {
      this.#eject(name, server, now);
    }
  }

  /** Names of the servers that are ejected or on trial. */
  get excluded(): ReadonlySet<string> {
    return this.#excluded;
  }

  #recordSlowness(
    name: string,
    server: ServerHealth,
    slowness: number,
    now: number,
  ): void {
    this.#medianSlowness.add(slowness);
    server.recordSlowness(slowness);
    const median = this.#medianSlowness.value;
    if (median === undefined || server.slowness === undefined) return;
    const conclusive = server.state === "trial" ||
      server.observations >= MINIMUM_OBSERVATIONS;
    if (conclusive && server.slowness > SLOWNESS_FACTOR * median) {
      this.#eject(name, server, now);
    }
  }

  #failsMoreThanPeers(server: ServerHealth, now: number): boolean {
    const failures = server.counts.failures(now);
    if (failures < MINIMUM_FAILURES - 0.5) return false;
    const total = server.counts.total(now);
    const share = failures / total;
    const peersTotal = this.#totals.total(now) - total;
    const peersFailures = this.#totals.failures(now) - failures;
    const peersShare = peersTotal < 1 ? 0 : peersFailures / peersTotal;
    return share >= MINIMUM_FAILURE_SHARE &&
      share >= PEERS_SHARE_FACTOR * peersShare;
  }

  #eject(name: string, server: ServerHealth, now: number): void {
    if (server.state === "ejected") return;
    if (
      !this.#excluded.has(name) &&
      this.#excluded.size >= this.#maximumExcluded()
    ) return;
    if (now - server.readmittedAt > MAXIMUM_EJECTION) server.ejections = 0;
    const duration = FIRST_EJECTION * 2 ** server.ejections;
    server.state = "ejected";
    server.ejections++;
    server.ejectedUntil = now + Math.min(duration, MAXIMUM_EJECTION);
    server.trialRunningUntil = -Infinity;
    // If its failures stayed in the totals, they would count as its peers' at
    // its next failures, and a server that keeps failing would be ejected only
    // once.
    server.counts.moveOutOf(this.#totals, now);
    server.resetSlowness();
    this.#excluded.add(name);
  }

  #readmit(name: string): void {
    this.#excluded.delete(name);
    const server = this.#servers.get(name);
    if (server === undefined) return;
    server.state = "included";
    server.trialRunningUntil = -Infinity;
  }

  /** None of one server, one of two or three, otherwise the maximum share. */
  #maximumExcluded(): number {
    const size = this.#servers.size;
    if (size < 2) return 0;
    return Math.max(1, Math.floor(size * MAXIMUM_EJECTED_SHARE));
  }
}
