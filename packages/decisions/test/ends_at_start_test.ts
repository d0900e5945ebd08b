import t from "tap";
import { UnseenCrashSimulation } from "./unseen_crash_simulation.ts";

t.test("servers that fall silent as soon as they start quarantine no sound request", (t) => {
  // Guards against taking a server that ends by itself for one that a request crashes.
  const simulation = new UnseenCrashSimulation({
    serverCount: 9,
    fatalCount: 0,
    ownCrashInterval: 700,
    nextEnd: () => ({ shape: "accepted", lapseDelay: 2200 }),
  });
  simulation.run(30_000);
  t.strictSame(simulation.quarantined(), []);
  t.end();
});
