import t from "tap";
import { ServiceScheduler } from "../src/mod.ts";
import type { GrantRequest } from "../src/mod.ts";
import { serverRecord } from "./server_record.ts";

/*
 * Six engines with two slots each. For four seconds requests arrive at twice
 * their capacity, with log-normal lengths: a median of 160 tokens, one in ten
 * over 800. Of 400 requests 136 are on time in order of arrival, and 216 by
 * expected time.
 */

const SERVERS = 6;
/** Slots of each server. */
const SLOTS = 2;
const REQUESTS = 400;
/** Milliseconds between two requests. */
const SPACING = 10;
/** Milliseconds per output token. */
const TIME_PER_TOKEN = 1;

/** Returns log-normal lengths in tokens, in a fixed shuffled order. */
function lengthOf(index: number): number {
  const position = ((index * 7919) % REQUESTS + 0.5) / REQUESTS;
  const normal = Math.log(position / (1 - position)) / 1.7;
  return Math.round(160 * Math.exp(1.1 * normal));
}

function countOnTime(estimate: (tokens: number) => number): number {
  const scheduler = new ServiceScheduler();
  scheduler.setServers(
    Array.from(
      { length: SERVERS },
      (_, index) => serverRecord(`s${index}`, { slots: SLOTS }),
    ),
    0,
  );
  const ends: { at: number; id: string }[] = [];
  let onTime = 0;
  for (let now = 0; now < REQUESTS * SPACING + 3000; now += 5) {
    const index = now / SPACING;
    if (now % SPACING === 0 && index < REQUESTS) {
      scheduler.submit(requestOf(index, estimate(lengthOf(index)), now), now);
    }
    for (const end of ends.filter(({ at }) => at === now)) {
      scheduler.recordEnd(end.id, "answered", now);
    }
    for (const decision of scheduler.decide(now)) {
      if (decision.kind !== "grant") continue;
      if (now + 70 <= decision.request.latencyGoalAt) onTime++;
      const length = lengthOf(Number(decision.request.id));
      const time = 70 + length * TIME_PER_TOKEN;
      ends.push({ at: now + Math.ceil(time / 5) * 5, id: decision.request.id });
    }
  }
  return onTime;
}

function requestOf(
  index: number,
  outputTokens: number,
  now: number,
): GrantRequest {
  return {
    id: String(index),
    entry: "entry",
    service: "assistant",
    tierRank: 1,
    routeRank: 0,
    organisation: "firm",
    dataCentre: "a",
    cost: { promptTokens: 600, outputTokens },
    charge: 1,
    arrived: now,
    latencyGoalAt: now + 300,
    expiresAt: now + 1600,
    deadline: now + 12_000,
    fingerprint: String(index),
    promptParts: [],
    jitter: 0.5,
    excludedServers: [],
  };
}

t.test("in a burst at twice the capacity, ordering by length serves 30 % more on time", (t) => {
  const byArrival = countOnTime(() => 200);
  const byLength = countOnTime((tokens) => tokens);
  t.comment(`on time: ${byArrival} in order of arrival, ${byLength} by length`);
  t.ok(byLength >= byArrival * 1.3, `${byLength} against ${byArrival}`);
  t.end();
});
