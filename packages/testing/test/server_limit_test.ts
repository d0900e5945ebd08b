import { setTimeout } from "node:timers/promises";
import t from "tap";
import { checkNotRunRefusals, Fleet } from "../src/mod.ts";

/** Requests a second that the server states. */
const LIMIT = 2;
/** Milliseconds that callers press, and what is accepted in them. */
const TIME = 3000;
const ACCEPTED = 1.5 * LIMIT * TIME / 1000 + 5;

t.test("a sidecar keeps to the limit that its server states", async (t) => {
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
  const [pair] = fleet.backends;
  await pair!.server.setFaults({ statedLimit: { perSecond: LIMIT } });
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
  const answers: unknown[] = [];
  for (let index = 1; index <= TIME / 100; index++) {
    answers.push(...send(index));
    await setTimeout(100);
  }
  const runs = await fleet.runs();
  const ran = runs.length - before;
  t.ok(ran <= ACCEPTED, `${ran} requests, ${ACCEPTED} are accepted`);
  t.ok(ran >= LIMIT, `${ran} requests`);
  await pair!.server.setFaults({});
  await Promise.all(answers);
  t.same(
    checkNotRunRefusals(
      callers.flatMap(({ calls }) => calls),
      await fleet.runs(),
    ),
    [],
  );
});
