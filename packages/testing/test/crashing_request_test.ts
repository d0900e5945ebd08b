import t from "tap";
import { Fleet } from "../src/mod.ts";

const SERVERS = 4;
const RESENDS = 8;

t.test("a request that crashes servers takes two at most", async (t) => {
  // A caller's request kills each engine that runs it, and the caller sends it
  // again at once, to either entry. Unchecked it takes the whole service down;
  // its neighbours' requests must go on being answered.
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
  for (let attempt = 0; attempt < RESENDS; attempt++) {
    const caller = callers[attempt % callers.length]!;
    const outcome = await caller.chat({
      marker: "fatal",
      service: "assistant",
      deadline: 5000,
    });
    reasons.push(outcome.type === "refused" ? outcome.reason : outcome.type);
  }
  const lost = fleet.backends.filter(({ server }) => server.process.hasExited);
  t.ok(lost.length <= 2, `servers lost: ${lost.length}`);
  t.equal(reasons.at(-1), "quarantined");
  const neighbours = await Promise.all(
    ["one", "two", "three", "four"].map((marker) =>
      callers[0]!.chat({ marker, service: "assistant" })
    ),
  );
  t.same(neighbours.filter(({ type }) => type !== "answered"), []);
});
