/**
 * Graceful stop of a gateway process: when it starts to refuse requests, when
 * it stops listening, and when it stops waiting for running requests.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { HttpFrontend } from "./front/http_frontend.ts";
import type { Peers } from "./peers/peers.ts";
import type { DrainAdmission } from "./request/drain_admission.ts";
import type { RequestHandler } from "./request/request_handler.ts";

/**
 * Milliseconds after the stop signal for which all requests are admitted. The
 * load balancer polls readiness once a second and removes an entry after the
 * second refusal. Requests sent later than 3 s after the signal must not be cut
 * off by the end of the process; the difference covers their time in transit, a
 * signal that comes late and {@link CHECK_INTERVAL}.
 */
const ADMIT_ALL_TIME = 2700;
/** Upper bound of that time as a fraction of the grace period. */
const ADMIT_ALL_FRACTION = 0.5;
/**
 * Milliseconds for which another entry must have accepted callers before this
 * one may stop listening: the load balancer polls its readiness once a second.
 */
const REPLACED_AFTER = 1500;
/**
 * Milliseconds without a request after which the process ends beside another
 * entry: a caller with a kept connection may have sent the next one.
 */
const IDLE_AFTER = 250;
/** Milliseconds without a request after which this entry counts as unused. */
const UNUSED_AFTER = 500;
/** Milliseconds before its end at which the process stops listening anyway. */
const STOP_LISTENING_MARGIN = 200;
/** Milliseconds before the process would be killed at which it ends itself. */
const GRACE_MARGIN = 400;
/** Milliseconds for the errors that end the remaining requests. */
const ERROR_TIME = 100;
/** Milliseconds between checks of the running requests. */
const CHECK_INTERVAL = 20;

/** One graceful stop, which begins at construction. */
export class GracefulStop {
  readonly #frontend: HttpFrontend;
  readonly #requestHandler: RequestHandler;
  readonly #peers: Peers;
  readonly #clock: () => number;
  readonly #admitAllUntil: number;
  readonly #endAt: number;
  /** Time since which another entry has accepted callers. */
  #replacedSince: number;
  /** Last time at which a request ran here. */
  #lastActiveAt: number;
  #longestDelay = 0;

  constructor(options: {
    frontend: HttpFrontend;
    requestHandler: RequestHandler;
    peers: Peers;
    drainAdmission: DrainAdmission;
    clock: () => number;
    /** Earliest instant at which the stop signal may have been sent. */
    signalledAt: number;
    /** Milliseconds from the signal until the process is killed. */
    gracePeriod: number;
  }) {
    this.#frontend = options.frontend;
    this.#requestHandler = options.requestHandler;
    this.#peers = options.peers;
    this.#clock = options.clock;
    const { gracePeriod, signalledAt } = options;
    const now = this.#clock();
    this.#admitAllUntil = signalledAt +
      Math.min(ADMIT_ALL_TIME, gracePeriod * ADMIT_ALL_FRACTION);
    options.drainAdmission.start({
      startedAt: signalledAt,
      acceptsAllUntil: this.#admitAllUntil,
      endsAt: signalledAt + gracePeriod - GRACE_MARGIN,
      isReplaced: (now) => this.#isReplaced(now),
    });
    // The signal may also have just been sent: running requests go on until the
    // process is killed.
    this.#endAt = now + gracePeriod - GRACE_MARGIN;
    this.#replacedSince = this.#peers.hasActivePeer() ? -Infinity : Infinity;
    this.#lastActiveAt = now;
  }

  /**
   * Resolves when no request runs any more, or the process has to end. Requests
   * that remain then have got an error.
   */
  async finish(): Promise<void> {
    while (this.#mustListen(this.#clock())) await this.#wait();
    this.#frontend.stopListening();
    await this.#waitForRequests(this.#endAt);
    this.#requestHandler.endAllAtStop();
    await this.#waitForRequests(this.#endAt + ERROR_TIME);
  }

  async #waitForRequests(until: number): Promise<void> {
    while (this.#requestHandler.activeRequests > 0 && this.#clock() < until) {
      await this.#wait();
      this.#frontend.closeIdleConnections();
    }
  }

  /** Longest lateness of a check in milliseconds. */
  get longestDelay(): number {
    return this.#longestDelay;
  }

  async #wait(): Promise<void> {
    const due = this.#clock() + CHECK_INTERVAL;
    await sleep(CHECK_INTERVAL);
    const now = this.#clock();
    this.#longestDelay = Math.max(this.#longestDelay, now - due);
    this.#requestHandler.refuseLate(now);
  }

  /**
   * False once no request runs here and callers use other entries or have
   * stopped coming, or when the process is about to end. It listens until then;
   * if other entries accept callers, the load balancer sends none here.
   */
  #mustListen(now: number): boolean {
    const isReplaced = this.#isReplaced(now);
    if (this.#requestHandler.activeRequests > 0) this.#lastActiveAt = now;
    if (now < this.#admitAllUntil) return true;
    if (now >= this.#endAt - STOP_LISTENING_MARGIN) return false;
    const idle = now - this.#lastActiveAt >= IDLE_AFTER;
    const unused = now - this.#lastActiveAt >= UNUSED_AFTER;
    return !(idle && isReplaced) && !unused;
  }

  /** Whether another entry has accepted callers for long enough. */
  #isReplaced(now: number): boolean {
    if (!this.#peers.hasActivePeer()) this.#replacedSince = Infinity;
    else this.#replacedSince = Math.min(this.#replacedSince, now);
    return now - this.#replacedSince >= REPLACED_AFTER;
  }
}
