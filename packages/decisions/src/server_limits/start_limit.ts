/**
 * The number of requests that each server of a service accepts in any second
 * while it is cold: after its start, or when it has lost its caches.
 *
 * A server may turn cold at any moment, and its record says so only later. So
 * the limit applies to all servers of the service, unless that would cost most
 * of the capacity of a service whose requests are short; then it applies to the
 * servers whose records say that they are cold.
 * @module
 */
import type { ServerRecord } from "../discovery/mod.ts";
import { allowedStartRate, StartRateLimiter } from "./server_rate_limiter.ts";

/**
 * The limit applies to all servers while their slots turn over at most this
 * many times as fast as the limit allows.
 */
const MAXIMUM_TURNOVER_RATIO = 2;
/** Milliseconds for which an entry counts as just started. */
const FRESH_START_TIME = 3000;
/**
 * Below this fraction of that ratio a service counts as slow again, so that it
 * doesn't alternate.
 */
const RETURN_FRACTION = 0.7;

/** Servers that are limited: all of the service, or only the cold ones. */
export type StartLimitScope = "all" | "cold";

/** Decides which servers of one service are limited. */
export class StartLimit {
  /** Requests accepted in a second; `undefined` if there is no limit. */
  #accepted: number | undefined;
  #appliesToAll = true;
  readonly #startedAt: number;

  /** `startedAt`: when this entry started. */
  constructor(startedAt = -Infinity) {
    this.#startedAt = startedAt;
  }

  /** `undefined` if the service has no limit. */
  get scope(): StartLimitScope | undefined {
    if (this.#accepted === undefined) return undefined;
    return this.#appliesToAll ? "all" : "cold";
  }

  set(accepted: number | undefined): void {
    this.#accepted = accepted;
  }

  /**
   * Adapts to the service's turnover. `slots` are those of one server;
   * `runTime` is the mean run time of a request in milliseconds, 0 if unknown.
   */
  adapt(slots: number, runTime: number): void {
    if (this.#accepted === undefined || runTime <= 0) return;
    const turnover = slots * 1000 / runTime;
    const ratio = turnover / allowedStartRate(this.#accepted, 1);
    const maximum = MAXIMUM_TURNOVER_RATIO *
      (this.#appliesToAll ? 1 : RETURN_FRACTION);
    this.#appliesToAll = ratio <= maximum;
  }

  /** Creates the limiter of one server. */
  createLimiter(accepted: number, now: number): StartRateLimiter {
    return now - this.#startedAt < FRESH_START_TIME
      ? StartRateLimiter.atFreshStart(accepted, now)
      : new StartRateLimiter(now);
  }

  /** Requests that the server accepts in a second, if it is limited. */
  of(record: ServerRecord, now: number): number | undefined {
    if (this.#accepted === undefined) return undefined;
    return this.#appliesToAll || isCold(record, now)
      ? this.#accepted
      : undefined;
  }
}

/** Whether the server is cold according to its record. */
export function isCold(
  { coldUntil }: Pick<ServerRecord, "coldUntil">,
  now: number,
): boolean {
  return coldUntil !== undefined && now < coldUntil;
}
