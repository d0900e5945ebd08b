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
 *
 * Where the decisions for uneven load apply, slowness is compared with the
 * server's own record too: servers share machines, and one that is slower than
 * the median may be sound. A server that is excluded for slowness remains usable
 * where no other has a free slot; see {@link OutlierEjection.isOnlySlow}.
 * @module
 */
import { DecayingCount } from "./decaying_count.ts";
import type { ExclusionCause, ExclusionChange } from "./exclusion_change.ts";
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
/**
 * Factor over a server's own record above which it is ejected. A machine that
 * is shared makes work take up to 3.5 times as long for some seconds.
 */
const OWN_SLOWNESS_FACTOR = 4;
/**
 * Factor over the median below which a server with a record is not ejected,
 * however fast it was before: callers get what most servers give them.
 */
const HARMLESS_SLOWNESS_FACTOR = 2;
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

/** How a failure is judged. */
export type FailureOptions = {
  /** Cause to log if the server is excluded; derived from the reason if absent. */
  cause?: ExclusionCause;
  /** Whether the decisions for uneven load apply. */
  isAdaptive?: boolean;
};

/** Tracks which servers of one service are excluded. */
export class OutlierEjection {
  readonly #servers = new Map<string, ServerHealth>();
  /** Ejected servers and those on trial, the earliest ejection first. */
  readonly #excluded = new Set<string>();
  readonly #totals = new DecayingCount();
  readonly #medianSlowness = new RunningMedian();
  #changes: ExclusionChange[] = [];

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

  /**
   * Whether the server is excluded for slowness alone. It may be sent requests
   * for which no other server has a slot.
   */
  isOnlySlow(name: string): boolean {
    if (!this.#excluded.has(name)) return false;
    return this.#servers.get(name)?.cause === "slowness";
  }

  /** Number of excluded servers by cause. */
  countByCause(): ReadonlyMap<ExclusionCause, number> {
    const counts = new Map<ExclusionCause, number>();
    for (const name of this.#excluded) {
      const { cause } = this.#servers.get(name)!;
      counts.set(cause, (counts.get(cause) ?? 0) + 1);
    }
    return counts;
  }

  /** Returns the changes since the last call. */
  takeChanges(): ExclusionChange[] {
    const changes = this.#changes;
    if (changes.length > 0) this.#changes = [];
    return changes;
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
   * divided by the expected one; `isAdaptive`: it is compared with the server's
   * own record too.
   */
  recordSuccess(
    name: string,
    now: number,
    slowness?: number,
    isAdaptive = false,
  ): void {
    const server = this.#servers.get(name);
    if (server === undefined) return;
    server.counts.add("success", now);
    this.#totals.add("success", now);
    if (
      slowness !== undefined &&
      this.#recordSlowness(name, server, slowness, now, isAdaptive)
    ) return;
    const countsAsTrial = server.state === "trial" ||
      (isAdaptive && this.isOnlySlow(name));
    if (!countsAsTrial) return;
    server.trialRunningUntil = -Infinity;
    server.successfulTrials++;
    if (server.successfulTrials < REQUIRED_TRIALS) return;
    server.readmittedAt = now;
    this.#readmit(name);
  }

  /** Records a failure that the server caused, not the request. */
  recordFailure(
    name: string,
    reason: FailureReason,
    now: number,
    { cause, isAdaptive = false }: FailureOptions = {},
  ): void {
    const server = this.#servers.get(name);
    if (server === undefined) return;
    const ejectionCause = cause ??
      (reason === "crash" ? "crash" : "failures");
    server.counts.add("failure", now);
    this.#totals.add("failure", now);
    // A server that is used as a last resort is on trial with each request.
    const isUsed = isAdaptive && this.isOnlySlow(name);
    if (server.state === "trial" || isUsed) {
      server.state = "trial";
      this.#eject(name, server, ejectionCause, now);
      return;
    }
    if (reason === "crash" || this.#failsMoreThanPeers(server, now)) {
      this.#eject(name, server, ejectionCause, now);
    }
  }

  /** Names of the servers that are ejected or on trial. */
  get excluded(): ReadonlySet<string> {
    return this.#excluded;
  }

  /** Returns true if the server is slow enough to be ejected. */
  #recordSlowness(
    name: string,
    server: ServerHealth,
    slowness: number,
    now: number,
    isAdaptive: boolean,
  ): boolean {
    this.#medianSlowness.add(slowness);
    server.recordSlowness(slowness);
    const median = this.#medianSlowness.value;
    if (median === undefined || server.slowness === undefined) {
      return false;
    }
    const conclusive = server.state === "trial" ||
      server.observations >= MINIMUM_OBSERVATIONS;
    const record = isAdaptive ? server.usualSlowness.value(now) : undefined;
    const isSlow = server.slowness > slownessLimit(median, record);
    // A server that failed before its trial is not only slow.
    const cause = server.state === "trial" ? server.cause : "slowness";
    if (conclusive && isSlow) this.#eject(name, server, cause, now);
    else if (!isSlow && server.state === "included") {
      server.usualSlowness.add(slowness, now);
    }
    // Usual responses between slow ones are no successful trials.
    if (isSlow) server.successfulTrials = 0;
    return isSlow;
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

  #eject(
    name: string,
    server: ServerHealth,
    cause: ExclusionCause,
    now: number,
  ): void {
    if (server.state === "ejected") return;
    if (
      !this.#excluded.has(name) &&
      this.#excluded.size >= this.#maximumExcluded()
    ) return;
    if (now - server.readmittedAt > MAXIMUM_EJECTION) server.ejections = 0;
    const duration = Math.min(
      FIRST_EJECTION * 2 ** server.ejections,
      MAXIMUM_EJECTION,
    );
    server.state = "ejected";
    server.cause = cause;
    server.ejections++;
    server.ejectedUntil = now + duration;
    server.successfulTrials = 0;
    this.#changes.push({
      kind: "excluded",
      server: name,
      cause,
      slowness: server.slowness,
      median: this.#medianSlowness.value,
      duration,
    });
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
    this.#changes.push({ kind: "readmitted", server: name });
  }

  /** None of one server, one of two or three, otherwise the maximum share. */
  #maximumExcluded(): number {
    const size = this.#servers.size;
    if (size < 2) return 0;
    return Math.max(1, Math.floor(size * MAXIMUM_EJECTED_SHARE));
  }
}

/**
 * Slowness above which a server is ejected; `record`: its usual slowness. A
 * record that hardware differences don't explain is that of a broken server.
 */
function slownessLimit(median: number, record: number | undefined): number {
  const hardwareLimit = SLOWNESS_FACTOR * median;
  if (record === undefined || record > hardwareLimit) return hardwareLimit;
  return Math.max(
    OWN_SLOWNESS_FACTOR * record,
    HARMLESS_SLOWNESS_FACTOR * median,
  );
}
