/**
 * Connects the balance between data centres to the selection of servers: turns
 * grant requests into its terms, and counts what is sent to other data centres.
 * @module
 */
import {
  DataCentreBalance,
  TransferCounts,
  TransferSize,
} from "../balance/mod.ts";
import type {
  BalancedRequest,
  BalanceState,
  ServerOffers,
  TransferCause,
  TransferCount,
} from "../balance/mod.ts";
import type { GrantRequest, RequestStanding } from "./grant_request.ts";

/** What the queue knows of a waiting request. */
export type RequestWorth = {
  standing: RequestStanding;
  /** Value of the response relative to others of its tier and route. */
  value: number;
};

/** Expected milliseconds of a request at a server of average speed. */
export type ExpectedTimes = { firstToken: number; run: number };

/**
 * Requests of one data centre that are decided to wait in one pass before those
 * behind wait as well, to bound the duration of a pass.
 */
const DECIDED_IN_DATA_CENTRE = 6;

/**
 * Requests that wait for a slot of their own data centre in one pass over the
 * queue.
 */
export class KeptRequests {
  readonly #ids = new Set<string>();
  readonly #counts = new Map<string, number>();

  get size(): number {
    return this.#ids.size;
  }

  has({ id }: GrantRequest): boolean {
    return this.#ids.has(id);
  }

  add({ id, dataCentre }: GrantRequest): void {
    if (this.#ids.has(id)) return;
    this.#ids.add(id);
    this.#counts.set(dataCentre, this.countIn(dataCentre) + 1);
  }

  remove({ id, dataCentre }: GrantRequest): void {
    if (!this.#ids.delete(id)) return;
    this.#counts.set(dataCentre, this.countIn(dataCentre) - 1);
  }

  countIn(dataCentre: string): number {
    return this.#counts.get(dataCentre) ?? 0;
  }

  /**
   * Whether so many requests ahead wait for the same data centre that this one
   * waits as well, without a decision of its own.
   */
  followsOthers({ dataCentre }: GrantRequest): boolean {
    return this.countIn(dataCentre) >= DECIDED_IN_DATA_CENTRE;
  }
}

/** Chooses the data centres of one service's requests. */
export class DataCentreSelection {
  readonly #balance = new DataCentreBalance();
  readonly #size = new TransferSize();
  readonly #counts = new TransferCounts();
  /** The last choice of another data centre; its grant follows. */
  #chosen: { id: string; cause: TransferCause } | undefined;

  /** Records the arrival of a request. */
  observe(
    request: GrantRequest,
    { value }: RequestWorth,
    run: number,
    now: number,
  ): void {
    this.#size.observe(request.cost, request.bodyBytes);
    this.#balance.observe(this.#balanced(request, value, run), now);
  }

  /** See {@link DataCentreBalance.invalidate}. */
  invalidate(): void {
    this.#balance.invalidate();
  }

  /** See {@link DataCentreBalance.isDue}. */
  isDue(now: number): boolean {
    return this.#balance.isDue(now);
  }

  /** See {@link DataCentreBalance.update}. */
  update(
    inputs: Parameters<DataCentreBalance["update"]>[0],
    now: number,
  ): void {
    this.#balance.update(inputs, now);
  }

  /** See {@link DataCentreBalance.choose}; returns the server. */
  choose(
    request: GrantRequest,
    worth: RequestWorth,
    offers: ServerOffers,
    kept: KeptRequests,
    timesOf: () => ExpectedTimes,
    now: number,
  ): string | undefined {
    const { dataCentre, latencyGoalAt } = request;
    const home = offers.of(dataCentre);
    if (home !== undefined && home.startsAt <= latencyGoalAt) {
      return home.server;
    }
    if (offers.isOnly(dataCentre)) return home?.server;
    const { firstToken, run } = timesOf();
    const choice = this.#balance.choose(
      {
        request: this.#balanced(request, worth.value, run),
        isRetry: worth.standing === "returned" ||
          worth.standing === "appointed",
        arrived: request.arrived,
        goalAt: latencyGoalAt,
        expiresAt: request.expiresAt,
        firstTokenTime: firstToken,
        ahead: kept.countIn(dataCentre),
      },
      offers,
      now,
    );
    if (choice === undefined) kept.add(request);
    const { cause } = choice ?? {};
    this.#chosen = cause && { id: request.id, cause };
    return choice?.server;
  }

  /** Records that a request was granted a server in `to`. */
  recordGrant(request: GrantRequest, to: string, now: number): void {
    const { id, dataCentre: home, cost, bodyBytes } = request;
    if (home === to) return;
    const cause = this.#chosen?.id === id ? this.#chosen.cause : "unbalanced";
    const bytes = this.#size.bytesOf(cost, bodyBytes);
    this.#counts.record(home, to, cause, bytes);
    this.#balance.recordTransfer({ ...request, home }, to, now);
  }

  /** Records the time to the first token of a run in `to`. */
  recordLatency(
    request: GrantRequest,
    to: string,
    { measured, expected }: { measured: number; expected: number },
    now: number,
  ): void {
    const { dataCentre: home } = request;
    if (home === to) return;
    this.#balance.latency.observe(home, to, measured - expected, now);
  }

  /** Returns the transfers since the last call. */
  takeTransfers(): TransferCount[] {
    return this.#counts.take();
  }

  state(now: number): BalanceState {
    return this.#balance.state(now);
  }

  #balanced(
    request: GrantRequest,
    value: number,
    runTime: number,
  ): BalancedRequest {
    const { cost, bodyBytes, tierRank, routeRank } = request;
    return {
      home: request.dataCentre,
      tierRank,
      routeRank,
      relativeValue: value,
      allowedDataCentres: request.allowedDataCentres,
      runTime,
      bytes: this.#size.bytesOf(cost, bodyBytes),
    };
  }
}
