/**
 * Decides which requests of one service leave the data centre of their entry.
 *
 * A data centre's own servers may be too few for a while, and those of another
 * have capacity; traffic between them costs money and time. Decided for each
 * request by itself, requests take the last slots of a data centre whose own
 * callers need them, and are exchanged between data centres that are both full.
 * Therefore slots have a price in each data centre, from a plan that is made
 * several times a second; see `docs/design/data-centre-balance.md`.
 * @module
 */
import { priorityClassOf, rankFactor } from "../dispatch/priority_key.ts";
import { planBalance } from "./balance_plan.ts";
import type { DataCentrePlan, PlannedShare } from "./balance_plan.ts";
import { ServiceClasses } from "./class_demand.ts";
import type { BalancedRequest } from "./class_demand.ts";
import { LATE_FRACTION, transferCost } from "./request_worth.ts";
import type { ServerOffer, ServerOffers } from "./server_offers.ts";
import { TransferDirections } from "./transfer_directions.ts";
import { TransferLatency } from "./transfer_latency.ts";
import type { TransferCause } from "./transfer_counts.ts";

/** Milliseconds between two plans. */
const PLAN_INTERVAL = 250;
/**
 * Milliseconds in which a price follows a new plan to 1/e, so that decisions
 * change smoothly as demand swings.
 */
const PRICE_DECAY = 500;
/** Milliseconds in which new slots are opened to other data centres. */
const FILL_TIME = 2000;
/**
 * Milliseconds between two plans that are counted at most, also before the
 * first one: then all slots are open and prices are those of the plan.
 */
const MAXIMUM_ELAPSED = 10 * FILL_TIME;
/**
 * Part of a response's value that a request has to gain to leave in a direction
 * that is not in use.
 */
const MINIMUM_GAIN = 0.05;
/** Smaller planned parts of a class are not sent. */
const MINIMUM_SHARE = 0.02;
/**
 * Factor on the expected wait at home: requests that arrive later may be served
 * before.
 */
const WAIT_MARGIN = 2;

/** A request for which no server at home is free and timely. */
export type UnservedRequest = {
  request: BalancedRequest;
  /** It is the retry of a caller that was refused. */
  isRetry: boolean;
  arrived: number;
  goalAt: number;
  expiresAt: number;
  /** Expected milliseconds to the first token at an average server. */
  firstTokenTime: number;
  /** Requests of the same home that wait for its slots before this one. */
  ahead: number;
};

/** Sent to a server, with the cause if it leaves; or waits for its home. */
export type BalanceChoice = { server: string; cause?: TransferCause };

/** State of one data centre, for metrics and logs. */
export type DataCentreState = DataCentrePlan & { dataCentre: string };

/** The plan in force; `age`: milliseconds since it was made. */
export type BalanceState = {
  dataCentres: readonly DataCentreState[];
  shares: readonly PlannedShare[];
  age: number;
};

/** Slots of a data centre; `opened` are those that others may use. */
type Slots = { usable: number; opened: number };

export class DataCentreBalance {
  readonly latency = new TransferLatency();
  readonly #classes = new ServiceClasses();
  readonly #directions = new TransferDirections();
  readonly #slots = new Map<string, Slots>();
  #dataCentres = new Map<string, DataCentrePlan>();
  #shares: readonly PlannedShare[] = [];
  #topRank = Infinity;
  #meanRunTime = 0;
  #transferPrice = 0;
  #plannedAt = -Infinity;
  #isCurrent = false;

  /** Records the arrival of a request. */
  observe(request: BalancedRequest, now: number): void {
    this.#topRank = Math.min(this.#topRank, rankFactor(request));
    this.#classes.observe(request, now);
  }

  /** Demands a new plan, as the servers have changed. */
  invalidate(): void {
    this.#isCurrent = false;
  }

  /** Whether {@link DataCentreBalance.update} should be called. */
  isDue(now: number): boolean {
    return !this.#isCurrent || now - this.#plannedAt >= PLAN_INTERVAL;
  }

  /** Makes a plan. `capacities`: usable slots by data centre. */
  update(
    { capacities, meanRunTime, transferPrice }: {
      capacities: ReadonlyMap<string, number>;
      meanRunTime: number;
      transferPrice: number;
    },
    now: number,
  ): void {
    const elapsed = Math.min(now - this.#plannedAt, MAXIMUM_ELAPSED);
    this.#plannedAt = now;
    this.#isCurrent = true;
    this.#meanRunTime = meanRunTime;
    this.#transferPrice = transferPrice;
    this.#openSlots(capacities, elapsed);
    const classes = this.#classes.recent(now);
    const topRank = this.#topRank;
    const plan = planBalance({
      classes,
      capacities,
      transferPrice,
      topRank,
      now,
    });
    this.#shares = plan.shares;
    const weight = 1 - Math.exp(-elapsed / PRICE_DECAY);
    classes.forEach((known, index) => {
      known.shares = blend(known.shares, plan.classShares[index]!, weight);
    });
    const before = this.#dataCentres;
    this.#dataCentres = new Map();
    for (const [name, planned] of plan.dataCentres) {
      const price = before.get(name)?.price ?? planned.price;
      this.#dataCentres.set(name, {
        ...planned,
        price: price + weight * (planned.price - price),
      });
    }
  }

  /**
   * Chooses among the free servers; `undefined` if the request should wait for
   * a slot of its own data centre.
   */
  choose(
    unserved: UnservedRequest,
    offers: ServerOffers,
    now: number,
  ): BalanceChoice | undefined {
    const { request } = unserved;
    const home = offers.of(request.home);
    const homeFraction = this.#homeFraction(unserved, offers, now);
    const value = request.relativeValue * this.#topRank / rankFactor(request);
    const homePrice = this.#dataCentres.get(request.home)?.price ?? 0;
    const homeCost = homePrice * request.runTime;
    const homeNet = Math.max(0, homeFraction * value - homeCost);
    const shares = home === undefined
      ? this.#classes.find(request)?.shares
      : undefined;
    let best: ServerOffer | undefined;
    let bestNet = 0;
    let bestFraction = 0;
    for (const offer of offers.outside(request.home)) {
      const startsAt = offer.startsAt +
        this.latency.expected(request.home, offer.dataCentre, now);
      const fraction = fractionAt(startsAt, unserved);
      if (home !== undefined && fraction <= homeFraction) continue;
      if (!offers.isHomeTooSmall && this.#isReverse(request, offer, now)) {
        continue;
      }
      const net = this.#netOf(offer, fraction * value, request, now);
      const isPlanned = shares?.has(offer.dataCentre) ?? false;
      if (net <= bestNet || (net <= homeNet && !isPlanned)) continue;
      best = offer;
      bestNet = net;
      bestFraction = fraction;
    }
    if (best === undefined) return home && { server: home.server };
    const cause = causeOf(homeFraction, bestFraction);
    return { server: best.server, cause };
  }

  /** Records that a request was sent to another data centre. */
  recordTransfer(
    request: { home: string; tierRank: number; routeRank: number },
    to: string,
    now: number,
  ): void {
    const priorityClass = priorityClassOf(request);
    this.#directions.record(priorityClass, request.home, to, now);
  }

  state(now: number): BalanceState {
    return {
      dataCentres: [...this.#dataCentres]
        .map(([dataCentre, plan]) => ({ dataCentre, ...plan })),
      shares: this.#shares,
      age: now - this.#plannedAt,
    };
  }

  /** Part of the value that a response at home would keep. */
  #homeFraction(
    unserved: UnservedRequest,
    offers: ServerOffers,
    now: number,
  ): number {
    const home = offers.of(unserved.request.home);
    if (home !== undefined) return fractionAt(home.startsAt, unserved);
    return offers.isHomeTooSmall ? 0 : this.#fractionAfterWait(unserved, now);
  }

  /** Whether like requests were lately sent the other way. */
  #isReverse(
    request: BalancedRequest,
    { dataCentre }: ServerOffer,
    now: number,
  ): boolean {
    const priorityClass = priorityClassOf(request);
    return this.#directions
      .isOpen(priorityClass, dataCentre, request.home, now);
  }

  /** Value at another data centre, less what it costs; hysteresis included. */
  #netOf(
    { dataCentre, free }: ServerOffer,
    value: number,
    request: BalancedRequest,
    now: number,
  ): number {
    const { home } = request;
    const open = free - this.#closedSlots(dataCentre);
    if (open < 1) return -Infinity;
    const priorityClass = priorityClassOf(request);
    const isInUse = this.#directions.isOpen(
      priorityClass,
      home,
      dataCentre,
      now,
    );
    return value * (isInUse ? 1 : 1 - MINIMUM_GAIN) -
      transferCost(request.bytes, this.#transferPrice) -
      this.#slotPrice(dataCentre, open) * request.runTime;
  }

  /**
   * What a millisecond of one of `open` free slots takes from the callers of
   * the data centre. Arrivals at `load` fill the free slots before they leave
   * them all empty with the probability `load ** open` (gambler's ruin).
   */
  #slotPrice(dataCentre: string, open: number): number {
    const plan = this.#dataCentres.get(dataCentre);
    if (plan === undefined) return 0;
    const { price, load, lowestDensity } = plan;
    return Math.max(price, lowestDensity * Math.min(1, load) ** open);
  }

  /**
   * Part of the value that a response after a wait at home would keep. A
   * request is expected to wait at least as long again as it has waited: others
   * pass it while slots are short, most of all once it is late.
   */
  #fractionAfterWait(unserved: UnservedRequest, now: number): number {
    const slots = this.#slots.get(unserved.request.home)?.usable ?? 0;
    if (slots <= 0) return 0;
    const turn = (unserved.ahead + 1) * this.#meanRunTime / slots;
    const wait = Math.max(turn * WAIT_MARGIN, now - unserved.arrived);
    if (now + wait > unserved.expiresAt) return 0;
    return fractionAt(now + wait + unserved.firstTokenTime, unserved);
  }

  #closedSlots(dataCentre: string): number {
    const slots = this.#slots.get(dataCentre);
    return slots === undefined ? 0 : slots.usable - slots.opened;
  }

  /** Opens the slots of a data centre whose capacity has grown gradually. */
  #openSlots(
    capacities: ReadonlyMap<string, number>,
    elapsed: number,
  ): void {
    for (const name of this.#slots.keys()) {
      if (capacities.has(name)) continue;
      this.#slots.delete(name);
      this.#directions.forgetTo(name);
    }
    for (const [name, usable] of capacities) {
      const before = this.#slots.get(name)?.opened ?? 0;
      const opened = before + usable * elapsed / FILL_TIME;
      this.#slots.set(name, { usable, opened: Math.min(usable, opened) });
    }
  }
}

/** Moves shares towards those of a new plan. */
function blend(
  before: ReadonlyMap<string, number>,
  planned: ReadonlyMap<string, number>,
  weight: number,
): ReadonlyMap<string, number> {
  const blended = new Map<string, number>();
  for (const name of new Set([...before.keys(), ...planned.keys()])) {
    const share = before.get(name) ?? 0;
    const next = share + weight * ((planned.get(name) ?? 0) - share);
    if (next >= MINIMUM_SHARE) blended.set(name, next);
  }
  return blended;
}

/** Part of its value that a response keeps which starts at `startsAt`. */
function fractionAt(
  startsAt: number,
  { isRetry, goalAt }: UnservedRequest,
): number {
  return !isRetry && startsAt <= goalAt ? 1 : LATE_FRACTION;
}

function causeOf(homeFraction: number, fraction: number): TransferCause {
  if (homeFraction === 0) return "no_capacity";
  return homeFraction < fraction ? "late" : "slot_price";
}
