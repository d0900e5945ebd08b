/**
 * The end of a process that was told to stop: when it stops listening, and when
 * it ends what still runs.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { HttpFrontend } from "./front/http_frontend.ts";
import type { Peers } from "./peers/peers.ts";
import type { DrainAdmission } from "./request/drain_admission.ts";
import type { RequestHandler } from "./request/request_handler.ts";

/**
 * Milliseconds for which everything is still taken after a request to stop: the
 * balancer asks once a second and believes the second refusal. What callers send
 * later than 3 s after it may not be cut at the end, and has been on its way.
 */
const ALL_TAKEN_FOR = 2700;
const ALL_TAKEN_PART = 0.5;
/**
 * Milliseconds for which another entry has to be there before this one may stop
 * listening: the balancer asks it once a second whether it is ready.
 */
const TAKEN_UP_AFTER = 1500;
/** Milliseconds without a request after which nobody needs this entry. */
const UNUSED_AFTER = 500;
/** Milliseconds before its end at which an entry stops listening in any case. */
const CLOSE_BEFORE = 200;
/** Milliseconds before the process would be killed at which it ends itself. */
const GRACE_MARGIN = 400;
/** Milliseconds between looks at what has ended. */
const LOOK_EVERY = 20;

/** One stop; it begins as it is constructed. */
export class GracefulStop {
  readonly #front: HttpFrontend;
  readonly #desk: RequestHandler;
  readonly #peers: Peers;
  readonly #closing: DrainAdmission;
  readonly #clock: () => number;
  readonly #allTakenUntil: number;
  readonly #endAt: number;
  /** Another entry has taken callers since then. */
  #othersSince: number;
  /** A request ran here then. */
  #usedAt: number;

  constructor(options: {
    front: HttpFrontend;
    desk: RequestHandler;
    peers: Peers;
    closing: DrainAdmission;
    clock: () => number;
    /** Milliseconds until the process is killed. */
    gracePeriod: number;
  }) {
    this.#front = options.front;
    this.#desk = options.desk;
    this.#peers = options.peers;
    this.#closing = options.closing;
    this.#clock = options.clock;
    const { gracePeriod } = options;
    const now = this.#clock();
    this.#allTakenUntil = now +
      Math.min(ALL_TAKEN_FOR, gracePeriod * ALL_TAKEN_PART);
    this.#endAt = now + gracePeriod - GRACE_MARGIN;
    this.#othersSince = this.#peers.anyStaying() ? -Infinity : Infinity;
    this.#usedAt = now;
  }

  /** Resolves when nothing runs any more, or the process has to end. */
  async finish(): Promise<void> {
    while (this.#needed(this.#clock())) await sleep(LOOK_EVERY);
    this.#front.stopListening();
    while (this.#desk.activeRequests > 0 && this.#clock() < this.#endAt) {
      await sleep(LOOK_EVERY);
      this.#front.closeIdleConnections();
    }
  }

  /**
   * False once nothing runs here and callers can go elsewhere or don't come any
   * more, or when the process is about to end. Until then it listens: where other
   * entries take callers, the balancer sends none here.
   */
  #needed(now: number): boolean {
    if (!this.#peers.anyStaying()) this.#othersSince = Infinity;
    else this.#othersSince = Math.min(this.#othersSince, now);
    if (this.#desk.activeRequests > 0) this.#usedAt = now;
    if (now < this.#allTakenUntil) return true;
    this.#closing.start(this.#endAt);
    if (now >= this.#endAt - CLOSE_BEFORE) return false;
    const idle = this.#usedAt < now;
    const replaced = now - this.#othersSince >= TAKEN_UP_AFTER;
    const unused = now - this.#usedAt >= UNUSED_AFTER;
    return !(idle && replaced) && !unused;
  }
}
