import type { Move } from "@sycamorepulley/configuration";
import {
  FaultyKeyValueStore,
  MemoryKeyValueStore,
} from "@sycamorepulley/store";
import t from "tap";
import { MoveDriver } from "../src/moves/move_driver.ts";
import { ServiceMove } from "../src/moves/service_move.ts";

const SECOND = 1000;
const CALLS_A_ROUND = 60;

const MOVE: Move = {
  name: "bookings-to-2",
  service: "bookings",
  from: "bookings-1",
  to: "bookings-2",
  deadline: new Date(120 * SECOND).toISOString(),
  trialShare: 0.02,
  trialRequests: 200,
};

/** Two entries over one store, in virtual time. */
class MovingEntries {
  now = 0;
  failsOnNew = false;
  readonly store = new FaultyKeyValueStore(
    new MemoryKeyValueStore({ clock: () => this.now }),
  );
  readonly entries = ["entry-1", "entry-2"].map((instance) =>
    this.#entry(instance)
  );
  readonly stopped = new Set<number>();

  /** One second: calls at each entry, then a round of each driver. */
  async round(): Promise<void> {
    this.now += SECOND;
    const reports = this.entries.map(({ view }) => {
      for (let call = 0; call < CALLS_A_ROUND; call++) this.#call(view);
      return view.takeEvidence(this.now);
    });
    for (const [number, { driver, view }] of this.entries.entries()) {
      if (this.stopped.has(number)) continue;
      for (const evidence of reports) driver.observe(evidence);
      await driver.step(this.now);
      for (const other of this.entries) other.view.adopt(view.stored);
    }
  }

  async roundsUntil(done: () => boolean, most = 200): Promise<void> {
    for (let round = 0; round < most && !done(); round++) await this.round();
  }

  ends(): string[] {
    return this.entries.map(({ view }) => view.effectiveOutcome(this.now));
  }

  driving(): number {
    return this.entries.findIndex(({ driver }) => driver.driving);
  }

  #call(view: ServiceMove): void {
    const { side } = view.choose(this.now, 2);
    const failed = side === "to" && this.failsOnNew;
    view.ended(side, { route: "/bookings", failed, slowness: 1 });
  }

  #entry(instance: string) {
    const view = new ServiceMove({ move: MOVE, now: 0, firstRemainder: 0.5 });
    const driver = new MoveDriver({
      move: MOVE,
      store: this.store,
      self: { instance, host: "127.0.0.1", port: 1 },
      room: () => 1,
      onRecord: (stored) => void view.adopt(stored),
      log: { info: () => {}, warn: () => {} },
    });
    return { view, driver };
  }
}

t.test("a good version completes before its deadline", async (t) => {
  const moving = new MovingEntries();
  await moving.roundsUntil(() => !moving.ends().includes("running"));
  t.same(moving.ends(), ["complete", "complete"]);
  t.ok(moving.now < 100 * SECOND, `complete at ${moving.now}`);
});

t.test("a version that turns bad late is taken back", async (t) => {
  const moving = new MovingEntries();
  const [first] = moving.entries;
  await moving.roundsUntil(() => first!.view.stored.record.share >= 0.25);
  moving.failsOnNew = true;
  await moving.roundsUntil(() => !moving.ends().includes("running"));
  t.same(moving.ends(), ["takenBack", "takenBack"]);
  t.equal(first!.view.stored.record.reason, "failures");
});

t.test("a killed driver is replaced and the move completes", async (t) => {
  // A move stands still: the instance that drove it died midway. Its lease
  // lapses, another takes over with a higher fencing number and goes on from
  // the evidence that the first had written.
  const moving = new MovingEntries();
  await moving.roundsUntil(() => moving.driving() >= 0);
  const killed = moving.driving();
  moving.stopped.add(killed);
  const survivor = moving.entries[1 - killed]!;
  await moving.roundsUntil(() => survivor.driver.driving);
  await moving.roundsUntil(() => !moving.ends().includes("running"));
  t.same(moving.ends(), ["complete", "complete"]);
  t.equal(survivor.view.stored.record.fencing, 2);
});

t.test("a driver that wakes after its lease changes nothing", async (t) => {
  // The driver is paused for longer than its lease. Another has taken over
  // and moved on when it wakes with a step of its own in hand.
  const moving = new MovingEntries();
  await moving.roundsUntil(() => moving.driving() >= 0);
  const paused = moving.driving();
  moving.stopped.add(paused);
  const survivor = moving.entries[1 - paused]!;
  await moving.roundsUntil(() => survivor.driver.driving);
  const before = survivor.view.stored;
  await moving.entries[paused]!.driver.step(moving.now);
  t.equal(moving.entries[paused]!.driver.driving, false);
  const found = await moving.store.get(`moves/${MOVE.name}`);
  t.same(JSON.parse(found.isOk ? found.value!.value : ""), before);
});

t.test("a lost answer to a step is read back", async (t) => {
  // The service takes a step and the answer is lost. A driver that wrote the
  // step again would count it twice; it must read what became of it.
  const moving = new MovingEntries();
  await moving.roundsUntil(() => moving.driving() >= 0);
  moving.store.writeFaults.push("lost_answer");
  await moving.roundsUntil(() => !moving.ends().includes("running"));
  t.same(moving.ends(), ["complete", "complete"]);
});

t.test("a service that is down over the deadline ends it alike", async (t) => {
  // The key-value service goes down in the midst of a move and stays down.
  // Nobody can write an end, so the rule must: at the deadline every process
  // takes the move back by itself, and all come to the same end.
  const moving = new MovingEntries();
  const [first] = moving.entries;
  await moving.roundsUntil(() => first!.view.stored.record.share > 0);
  moving.store.outage = true;
  await moving.roundsUntil(() => moving.now >= 119 * SECOND);
  t.same(moving.ends(), ["running", "running"]);
  await moving.round();
  await moving.round();
  t.same(moving.ends(), ["takenBack", "takenBack"]);
});
