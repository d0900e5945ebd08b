import { setTimeout } from "node:timers/promises";
import t from "tap";
import { checkNotRunRefusals, Fleet } from "../src/mod.ts";

/** Limit that the server states, in requests per second. */
const LIMIT = 2;
/** Milliseconds for which the callers send more than the limit. */
const SENDING_TIME = 3000;
/** Maximum number of requests that may run in that time. */
const MAX_RUNS = 1.5 * LIMIT * SENDING_TIME / 1000 + 5;

t.test("a sidecar keeps the request rate within the limit that its server states", async (t) => {
  const fleet = await Fleet.start({
    entries: 2,
    backends: [{
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { stepTime: 1 },
    }],
  });
  t.teardown(() => fleet.kill());
  const [backend] = fleet.backends;
  await backend!.server.setFaults({ statedLimit: { perSecond: LIMIT } });
  const callers = fleet.entries.map((entry) => fleet.caller(entry));
  const send = (index: number) =>
    callers.map((caller, number) =>
      caller.chat({
        marker: `m-${number}-${index}`,
        service: "assistant",
        tier: "urgent",
        tierRank: 0,
        outputTokens: 5,
      })
    );
  await Promise.all(send(0));
  const before = (await fleet.runs()).length;
  const outcomes: unknown[] = [];
  for (let index = 1; index <= SENDING_TIME / 100; index++) {
    outcomes.push(...send(index));
    await setTimeout(100);
  }
  const runs = await fleet.runs();
  const ran = runs.length - before;
  t.ok(ran <= MAX_RUNS, `${ran} requests, ${MAX_RUNS} are accepted`);
  t.ok(ran >= LIMIT, `${ran} requests`);
  await backend!.server.setFaults({});
  await Promise.all(outcomes);
  t.same(
    checkNotRunRefusals(
      callers.flatMap(({ calls }) => calls),
      await fleet.runs(),
    ),
    [],
  );
});
