/** Measures the decisions of a queue that holds many reservations. @module */
import { WaitingQueue } from "@sycamorepulley/decisions";
import type { WaitingReservation } from "@sycamorepulley/decisions";
import { createRandom, measureNanoseconds } from "./measure.ts";

const TIERS = 5;
/** Number of organisations that the system is designed for. */
const MAX_ORGANISATIONS = 7800;
const DECISIONS = 20_000;
/** Milliseconds from the arrival of a reservation to its latest deadline. */
const MAX_WAIT = 1_000_000;
const SEED = 7;

/** Nanoseconds per decision, with `waiting` reservations in the queue. */
export type QueueCost = {
  waiting: number;
  /** Queues a reservation and takes one: the steady state of a busy sidecar. */
  offerAndTake: number;
  /** Queues a reservation and withdraws one, as if another sidecar granted first. */
  offerAndWithdraw: number;
  /** Adds a reservation to a full queue, which evicts another. */
  offerAndEvict: number;
  /** Offers the heads of the queue, none of which is admitted. */
  takeNothing: number;
  /** Queues a reservation and removes one that has expired. */
  offerAndExpire: number;
};

/** Measures a queue that holds `waiting` reservations. */
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
  const { queue, createReservation } = createFilledQueue(waiting, waiting + 1);
  return measureNanoseconds(() => {
    queue.offer(createReservation(0), 0);
    queue.take(0, () => true);
  }, DECISIONS);
}

function measureWithdraw(waiting: number): number {
  const { queue, createReservation } = createFilledQueue(waiting, waiting + 1);
  let oldest = 0;
  return measureNanoseconds(() => {
    queue.offer(createReservation(0), 0);
    queue.withdraw(String(oldest));
    oldest += 1;
  }, DECISIONS);
}

function measureEvict(waiting: number): number {
  const { queue, createReservation } = createFilledQueue(waiting, waiting);
  return measureNanoseconds(() => {
    queue.offer(createReservation(0), 0);
  }, DECISIONS);
}

function measureTakeNothing(waiting: number): number {
  const { queue } = createFilledQueue(waiting, waiting);
  return measureNanoseconds(() => {
    queue.take(0, () => false);
  }, DECISIONS);
}

function measureExpire(waiting: number): number {
  const { queue, createReservation } = createFilledQueue(waiting, waiting + 1);
  let now = 0;
  return measureNanoseconds(() => {
    queue.offer(createReservation(now), now);
    now += MAX_WAIT / waiting;
    queue.expire(now);
  }, DECISIONS);
}

/** Creates a queue of reservations of all tiers, sizes and organisations. */
function createFilledQueue(waiting: number, capacity: number) {
  const queue = new WaitingQueue({ capacity });
  const random = createRandom(SEED);
  const organisations = Math.min(MAX_ORGANISATIONS, Math.ceil(waiting / 4));
  let count = 0;
  const createReservation = (now: number): WaitingReservation => {
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
      deadline: now + MAX_WAIT * (0.5 + random() / 2),
      arrived: now,
    };
  };
  while (queue.size < waiting) {
    queue.offer(createReservation(0), 0);
  }
  return { queue, createReservation };
}
