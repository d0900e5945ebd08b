/**
 * Leaves out backend servers that fail or are slow beside their peers, and
 * tries them again carefully: one instance per service.
 *
 * Answers the server that fails fast: it is always idle, so late binding sends
 * it the most requests, and each of them fails. A server that is merely slow
 * grants less often by itself; only one that is slow beyond any difference of
 * hardware is left out. What all servers suffer alike is no reason to leave any
 * out, and however many look bad only a share is, since the rest would be
 * crushed by their traffic.
 *
 * Figures: 3 failures within about 10 s, half of the calls and three times the
 * peers' share tell a broken server from a few bad requests; a crash counts at
 * once. Hardware generations differ by a factor of 6 at most (speeds 0.4 to
 * 2.5) and slowness is measured against the expected time, so 4 times the
 * median is no generation. The first ejection lasts 2 s, about an engine's
 * shortest hiccup, doubled up to a minute; then one call at a time is tried
 * and 3 clean ones readmit the server. A server that fails only under load
 * passes its trials, so the doubling is forgotten after a clean minute only.
 * @module
 */
import { DecayingCount } from "./decaying_count.ts";
import { RunningMedian } from "./running_median.ts";
import { ServerRecord } from "./server_record.ts";
import type { FailureReason } from "./server_record.ts";

/** Largest share of a service's servers that is left out at a time. */
export const LARGEST_EJECTED_SHARE = 0.34;

const LEAST_FAILURES = 3;
const LEAST_FAILURE_SHARE = 0.5;
const TIMES_PEERS_SHARE = 3;
const SLOW_FACTOR = 4;
const LEAST_OBSERVATIONS = 8;
const FIRST_EJECTION = 2000;
const LONGEST_EJECTION = 60_000;
const CLEAN_TRIALS = 3;
/** A trial that has not been heard of for so long makes way for another. */
const TRIAL_LAPSE = 30_000;

/** Servers of one service that may not be asked. */
export class OutlierEjection {
  readonly #records = new Map<string, ServerRecord>();
  /** Ejected and on trial, longest out first. */
  readonly #out = new Set<string>();
  readonly #all = new DecayingCount();
  readonly #median = new RunningMedian();

  add(name: string): void {
    if (!this.#records.has(name)) this.#records.set(name, new ServerRecord());
  }

  /** Forgets a server; readmits others where the allowed share shrinks. */
  remove(name: string): void {
    this.#records.delete(name);
    this.#out.delete(name);
    for (const out of this.#out) {
      if (this.#out.size <= this.#largestOut()) break;
      this.#readmit(out);
    }
  }

  /** False while the server is left out or its trial is taken. */
  allowed(name: string, now: number): boolean {
    const record = this.#records.get(name);
    if (record === undefined || record.state === "included") return true;
    if (record.state === "ejected") {
      if (now < record.ejectedUntil) return false;
      record.state = "trial";
      record.cleanTrials = 0;
    }
    return now >= record.trialRunningUntil;
  }

  /** States a hand-over to the server: on trial, one runs at a time. */
  recordStart(name: string, now: number): void {
    const record = this.#records.get(name);
    if (record?.state === "trial") record.trialRunningUntil = now + TRIAL_LAPSE;
  }

  /**
   * States a whole answer. `slowness` is the measured time to first token over
   * the expected one.
   */
  recordSuccess(name: string, now: number, slowness?: number): void {
    const record = this.#records.get(name);
    if (record === undefined) return;
    record.counts.add("success", now);
    this.#all.add("success", now);
    if (slowness !== undefined) {
      this.#observeSlowness(name, record, slowness, now);
    }
    if (record.state !== "trial") return;
    record.trialRunningUntil = -Infinity;
    record.cleanTrials++;
    if (record.cleanTrials < CLEAN_TRIALS) return;
    record.readmittedAt = now;
    this.#readmit(name);
  }

  /** States a failure of the server's own making, not of the request's. */
  recordFailure(name: string, reason: FailureReason, now: number): void {
    const record = this.#records.get(name);
    if (record === undefined) return;
    record.counts.add("failure", now);
    this.#all.add("failure", now);
    if (record.state === "trial") {
      this.#eject(name, record, now);
      return;
    }
    if (reason === "crash" || this.#failsBeyondPeers(record, now)) {
      this.#eject(name, record, now);
    }
  }

  /** Names left out or on trial. */
  get excluded(): ReadonlySet<string> {
    return this.#out;
  }

  #observeSlowness(
    name: string,
    record: ServerRecord,
    slowness: number,
    now: number,
  ): void {
    this.#median.add(slowness);
    record.observeSlowness(slowness);
    const median = this.#median.value;
    if (median === undefined || record.slowness === undefined) return;
    const judged = record.state === "trial" ||
      record.observations >= LEAST_OBSERVATIONS;
    if (judged && record.slowness > SLOW_FACTOR * median) {
      this.#eject(name, record, now);
    }
  }

  #failsBeyondPeers(record: ServerRecord, now: number): boolean {
    const failures = record.counts.failures(now);
    if (failures < LEAST_FAILURES - 0.5) return false;
    const total = record.counts.total(now);
    const share = failures / total;
    const peersTotal = this.#all.total(now) - total;
    const peersFailures = this.#all.failures(now) - failures;
    const peersShare = peersTotal < 1 ? 0 : peersFailures / peersTotal;
    return share >= LEAST_FAILURE_SHARE &&
      share >= TIMES_PEERS_SHARE * peersShare;
  }

  #eject(name: string, record: ServerRecord, now: number): void {
    if (record.state === "ejected") return;
    if (!this.#out.has(name) && this.#out.size >= this.#largestOut()) return;
    if (now - record.readmittedAt > LONGEST_EJECTION) record.ejections = 0;
    const duration = FIRST_EJECTION * 2 ** record.ejections;
    record.state = "ejected";
    record.ejections++;
    record.ejectedUntil = now + Math.min(duration, LONGEST_EJECTION);
    record.trialRunningUntil = -Infinity;
    // Left in the sum, its failures would pass for its peers' at its next ones
    // and a server that keeps failing would be left out only once.
    record.counts.takeOutOf(this.#all, now);
    record.forgetSlowness();
    this.#out.add(name);
  }

  #readmit(name: string): void {
    this.#out.delete(name);
    const record = this.#records.get(name);
    if (record === undefined) return;
    record.state = "included";
    record.trialRunningUntil = -Infinity;
  }

  /** None of one, one of two or three, then the share; never all. */
  #largestOut(): number {
    const size = this.#records.size;
    if (size < 2) return 0;
    return Math.max(1, Math.floor(size * LARGEST_EJECTED_SHARE));
  }
}
