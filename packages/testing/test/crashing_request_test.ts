import t from "tap";
import { Fleet } from "../src/mod.ts";

const SERVERS = 4;
const ATTEMPTS = 8;

// Guards against retries through both entries crashing every server in turn.
t.test("a request that crashes servers is quarantined after two at most", async (t) => {
  const fleet = await Fleet.start({
    entries: 2,
    backends: Array.from({ length: SERVERS }, () => ({
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { stepTime: 5 },
    })),
  });
  t.teardown(() => fleet.kill());
  for (const { server } of fleet.backends) {
    await server.setFaults({ crashMarkers: ["fatal"] });
  }
  const callers = fleet.entries.map((entry) => fleet.caller(entry));
  const reasons: string[] = [];
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const caller = callers[attempt % callers.length]!;
    const outcome = await caller.chat({
      marker: "fatal",
      service: "assistant",
      deadline: 5000,
    });
    reasons.push(outcome.type === "refused" ? outcome.reason : outcome.type);
  }
  const crashed = fleet.backends.filter(({ server }) =>
    server.process.hasExited
  );
  t.ok(crashed.length <= 2, `servers crashed: ${crashed.length}`);
  t.equal(reasons.at(-1), "quarantined");
  const otherOutcomes = await Promise.all(
    ["one", "two", "three", "four"].map((marker) =>
      callers[0]!.chat({ marker, service: "assistant" })
    ),
  );
  t.same(otherOutcomes.filter(({ type }) => type !== "answered"), []);
});
