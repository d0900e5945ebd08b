/** The cost of one decision of a queue that holds many reservations. @module */
import { WaitingQueue } from "@sycamorepulley/decisions";
import type { WaitingReservation } from "@sycamorepulley/decisions";
import { nanosecondsOf, numbers } from "./measure.ts";

const TIERS = 5;
/** Organisations of the size that is designed for. */
const MOST_ORGANISATIONS = 7800;
const DECISIONS = 20_000;
const LIFE = 1_000_000;
const SEED = 7;

/** Nanoseconds of one call each, with `waiting` reservations in the queue. */
export type QueueCost = {
  waiting: number;
  /** Queue one, take one: the steady state of a busy sidecar. */
  offerAndTake: number;
  /** Queue one, withdraw one: another sidecar granted first. */
  offerAndWithdraw: number;
  /** Queue one into a full queue, which evicts another. */
  offerAndEvict: number;
  /** Ask every head and find room for none. */
  takeNothing: number;
  /** Queue one, drop one whose time has run out. */
  offerAndExpire: number;
};

/** Measures a queue of `waiting` reservations. */
export function measureQueue(waiting: number): QueueCost {
  return {
    waiting,
    offerAndTake: measureTake(waiting),
    offerAndWithdraw: measureWithdraw(waiting),
    offerAndEvict: measureEvict(waiting),
    takeNothing: measureTakeNothing(waiting),
    offerAndExpire: measureExpire(waiting),
  };
}

function measureTake(waiting: number): number {
  const { queue, next } = filledQueue(waiting, waiting + 1);
  return nanosecondsOf(() => {
    queue.offer(next(0), 0);
    queue.take(0, () => true);
  }, DECISIONS);
}

function measureWithdraw(waiting: number): number {
  const { queue, next } = filledQueue(waiting, waiting + 1);
  let oldest = 0;
  return nanosecondsOf(() => {
    queue.offer(next(0), 0);
    queue.withdraw(String(oldest));
    oldest += 1;
  }, DECISIONS);
}

function measureEvict(waiting: number): number {
  const { queue, next } = filledQueue(waiting, waiting);
  return nanosecondsOf(() => {
    queue.offer(next(0), 0);
  }, DECISIONS);
}

function measureTakeNothing(waiting: number): number {
  const { queue } = filledQueue(waiting, waiting);
  return nanosecondsOf(() => {
    queue.take(0, () => false);
  }, DECISIONS);
}

function measureExpire(waiting: number): number {
  const { queue, next } = filledQueue(waiting, waiting + 1);
  let now = 0;
  return nanosecondsOf(() => {
    queue.offer(next(now), now);
    now += LIFE / waiting;
    queue.expire(now);
  }, DECISIONS);
}

/** Reservations of all tiers and sizes, each organisation with some of them. */
function filledQueue(waiting: number, capacity: number) {
  const queue = new WaitingQueue({ capacity });
  const random = numbers(SEED);
  const organisations = Math.min(MOST_ORGANISATIONS, Math.ceil(waiting / 4));
  let count = 0;
  const next = (now: number): WaitingReservation => {
    const id = String(count);
    count += 1;
    return {
      id,
      tierRank: Math.floor(random() * TIERS),
      organisation: `organisation ${Math.floor(random() * organisations)}`,
      weight: 1,
      cost: {
        promptTokens: Math.floor(100 * 2 ** (random() * 6)),
        outputTokens: Math.floor(10 * 2 ** (random() * 8)),
      },
      deadline: now + LIFE * (0.5 + random() / 2),
      arrived: now,
    };
  };
  while (queue.size < waiting) {
    queue.offer(next(0), 0);
  }
  return { queue, next };
}
