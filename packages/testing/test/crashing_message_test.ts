import t from "tap";
import { Fleet } from "../src/mod.ts";

const SERVERS = 8;
const ATTEMPTS = 12;
/** Five crashes, and three requests that reach servers afterwards. */
const MAXIMUM_CRASHES = 8;

// Guards against a message that crashes every server, in requests no two alike.
t.test("requests that share a message that crashes servers are quarantined", async (t) => {
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
    await server.setFaults({ crashMessages: ["bad"] });
  }
  const callers = fleet.entries.map((entry) => fleet.caller(entry));
  const chat = (attempt: number, firstMessages: string[]) =>
    callers[attempt % callers.length]!.chat({
      marker: `m${attempt}`,
      service: "assistant",
      deadline: 5000,
      firstMessages,
    });
  t.match(await chat(0, ["common"]), { type: "answered" });
  const reasons: string[] = [];
  for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
    const outcome = await chat(attempt, ["common", "bad"]);
    reasons.push(outcome.type === "refused" ? outcome.reason : outcome.type);
  }
  const crashed = fleet.backends.filter(({ server }) =>
    server.process.hasExited
  );
  t.ok(crashed.length >= 3, `servers crashed: ${crashed.length}`);
  t.ok(crashed.length < MAXIMUM_CRASHES, `servers crashed: ${crashed.length}`);
  t.equal(reasons.at(-1), "quarantined");
  const others = await Promise.all(
    [100, 101, 102, 103].map((attempt) => chat(attempt, ["common"])),
  );
  t.same(others.filter(({ type }) => type !== "answered"), []);
});
