import { setTimeout } from "node:timers/promises";
import t from "tap";
import { Fleet, waitFor } from "../src/mod.ts";
import type { CallOutcome, FleetOptions } from "../src/mod.ts";

function fleetOf(backends: number): FleetOptions {
  return {
    entries: 2,
    backends: Array.from({ length: backends }, () => ({
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { stepTime: 1 },
    })),
  };
}

/** Seconds for which the server wants no requests. */
const REST = 2;
/** Milliseconds until a notice has to be heeded. */
const GRACE = 500;
/** Milliseconds by which a caller may see the end of the rest too early. */
const TRANSIT = 200;
/** Milliseconds between the calls of an entry. */
const INTERVAL = 50;

/** A call's outcome, and when its caller had it, in Unix milliseconds. */
type Call = Promise<{ outcome: CallOutcome; endedAt: number }>;

/** Sends calls through all entries for `time` milliseconds. */
async function sendFor(fleet: Fleet, time: number): Promise<Call[]> {
  const callers = fleet.entries.map((entry) => fleet.caller(entry));
  const calls: Call[] = [];
  for (let round = 0; round < time / INTERVAL; round++) {
    for (const [number, caller] of callers.entries()) {
      const marker = `${Date.now()}-${number}`;
      calls.push(
        caller.chat({ marker, service: "assistant", outputTokens: 3 })
          .then((outcome) => ({ outcome, endedAt: Date.now() })),
      );
    }
    await setTimeout(INTERVAL);
  }
  return calls;
}

t.test("a sidecar sends nothing to a server that has said it leaves", async (t) => {
  const fleet = await Fleet.start(fleetOf(2));
  t.teardown(() => fleet.kill());
  const [leaving] = fleet.backends;
  const isUsedAfter = (count: number) => async () => {
    await Promise.all(await sendFor(fleet, INTERVAL));
    return (await leaving!.server.records()).length > count;
  };
  await waitFor("the server to be used", isUsedAfter(0));
  const before = (await leaving!.server.records()).length;
  await leaving!.server.setFaults({ leavingHeader: "x-server-leaving" });
  await Promise.all(await sendFor(fleet, 2000));
  const runs = await leaving!.server.records();
  // A response to a request, or to a health check, says first that it leaves.
  const [first] = runs.slice(before);
  const late = runs.slice(before)
    .filter(({ startedAt }) => startedAt > first!.startedAt + GRACE);
  t.equal(late.length, 0);
  await leaving!.server.setFaults({});
  await waitFor("the server to be used again", isUsedAfter(runs.length));
});

t.test("a sidecar lets its server rest for as long as the server asks", async (t) => {
  // Beside another server the entries would eject this one after a while.
  const fleet = await Fleet.start(fleetOf(1));
  t.teardown(() => fleet.kill());
  const [resting] = fleet.backends;
  await resting!.server.setFaults({ turnAway: { retryAfter: REST } });
  const calls = await sendFor(fleet, REST * 1000);
  await resting!.server.setFaults({});
  const turnedAway = (await Promise.all(calls)).filter(({ outcome }) =>
    outcome.type === "answered" && outcome.status === 503
  );
  const first = Math.min(...turnedAway.map(({ endedAt }) => endedAt));
  const late = turnedAway.filter(({ endedAt }) =>
    endedAt > first + GRACE && endedAt < first + REST * 1000 - TRANSIT
  );
  t.ok(turnedAway.length > 0);
  t.ok(late.length <= 2, `${late.length} requests in ${REST} s of rest`);
});
