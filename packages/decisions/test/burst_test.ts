import t from "tap";
import { ServiceScheduler } from "../src/mod.ts";
import type { GrantRequest } from "../src/mod.ts";
import { serverRecord } from "./server_record.ts";

/*
 * Six engines of two places; for four seconds twice as many requests arrive as
 * they can run, their lengths spread as callers' are (a median of 160 tokens, one
 * in ten over 800). What callers get on time is counted.
 * Measured: 136 of 400 in order of arrival, 216 by expected time.
 */

const SERVERS = 6;
const PLACES = 2;
const ARRIVALS = 400;
const SPACING = 10;
const TIME_PER_TOKEN = 1;

/** Lengths of a lognormal spread, in a fixed mixed order. */
function lengthOf(index: number): number {
  const position = ((index * 7919) % ARRIVALS + 0.5) / ARRIVALS;
  const normal = Math.log(position / (1 - position)) / 1.7;
  return Math.round(160 * Math.exp(1.1 * normal));
}

function onTime(estimate: (tokens: number) => number): number {
  const desk = new ServiceScheduler();
  desk.setServers(
    Array.from(
      { length: SERVERS },
      (_, index) => serverRecord(`s${index}`, { slots: PLACES }),
    ),
  );
  const ends: { at: number; id: string }[] = [];
  let served = 0;
  for (let now = 0; now < ARRIVALS * SPACING + 3000; now += 5) {
    const index = now / SPACING;
    if (now % SPACING === 0 && index < ARRIVALS) {
      desk.submit(askOf(index, estimate(lengthOf(index)), now), now);
    }
    for (const end of ends.filter(({ at }) => at === now)) {
      desk.recordEnd(end.id, "answered", now);
    }
    for (const verdict of desk.decide(now)) {
      if (verdict.kind !== "grant") continue;
      if (now + 70 <= verdict.request.latencyGoalAt) served++;
      const length = lengthOf(Number(verdict.request.id));
      const time = 70 + length * TIME_PER_TOKEN;
      ends.push({ at: now + Math.ceil(time / 5) * 5, id: verdict.request.id });
    }
  }
  return served;
}

function askOf(index: number, outputTokens: number, now: number): GrantRequest {
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
    jitter: 0.5,
    excludedServers: [],
  };
}

t.test("a burst of twice the places: more callers are served on time", (t) => {
  const byArrival = onTime(() => 200);
  const byLength = onTime((tokens) => tokens);
  t.comment(`on time: ${byArrival} in order of arrival, ${byLength} by length`);
  t.ok(byLength >= byArrival * 1.3, `${byLength} against ${byArrival}`);
  t.end();
});
