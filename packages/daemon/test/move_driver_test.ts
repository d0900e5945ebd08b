import type { Move } from "@sycamorepulley/configuration";
import {
  FaultyKeyValueStore,
  MemoryKeyValueStore,
} from "@sycamorepulley/store";
import t from "tap";
import { MoveDriver } from "../src/moves/move_driver.ts";
import { ServiceMove } from "../src/moves/service_move.ts";

const SECOND = 1000;
const CALLS_PER_ROUND = 60;

const MOVE: Move = {
  name: "bookings-to-2",
  service: "bookings",
  from: "bookings-1",
  to: "bookings-2",
  deadline: new Date(120 * SECOND).toISOString(),
  trialShare: 0.02,
  trialRequests: 200,
};

/** Two entries that share one store, in virtual time. */
class MovingEntries {
  now = 0;
  newVersionFails = false;
  readonly store = new FaultyKeyValueStore(
    new MemoryKeyValueStore({ clock: () => this.now }),
  );
  readonly entries = ["entry-1", "entry-2"].map((instance) =>
    this.#createEntry(instance)
  );
  readonly stopped = new Set<number>();

  /** Advances one second: calls at each entry, then a round of each driver. */
  async runRound(): Promise<void> {
    this.now += SECOND;
    const reports = this.entries.map(({ serviceMove }) => {
      for (let call = 0; call < CALLS_PER_ROUND; call++) {
        this.#call(serviceMove);
      }
      return serviceMove.flushEvidence(this.now);
    });
    for (const [number, { driver, serviceMove }] of this.entries.entries()) {
      if (this.stopped.has(number)) continue;
      for (const evidence of reports) driver.addEvidence(evidence);
      await driver.runRound(this.now);
      for (const other of this.entries) {
        other.serviceMove.adopt(serviceMove.stored);
      }
    }
  }

  async runRoundsUntil(isDone: () => boolean, maxRounds = 200): Promise<void> {
    for (let round = 0; round < maxRounds && !isDone(); round++) {
      await this.runRound();
    }
  }

  outcomes(): string[] {
    return this.entries.map(({ serviceMove }) =>
      serviceMove.effectiveOutcome(this.now)
    );
  }

  driverIndex(): number {
    return this.entries.findIndex(({ driver }) => driver.isDriving);
  }

  #call(serviceMove: ServiceMove): void {
    const { side } = serviceMove.chooseVersion(this.now, 2);
    const failed = side === "to" && this.newVersionFails;
    serviceMove.recordCall(side, { route: "/bookings", failed, slowness: 1 });
  }

  #createEntry(instance: string) {
    const serviceMove = new ServiceMove({
      move: MOVE,
      now: 0,
      firstRemainder: 0.5,
    });
    const driver = new MoveDriver({
      move: MOVE,
      store: this.store,
      ownAddress: { instance, host: "127.0.0.1", port: 1 },
      capacityShare: () => 1,
      onRecord: (stored) => void serviceMove.adopt(stored),
      log: { info: () => {}, warn: () => {} },
    });
    return { serviceMove, driver };
  }
}

t.test("a good version completes before its deadline", async (t) => {
  const moving = new MovingEntries();
  await moving.runRoundsUntil(() => !moving.outcomes().includes("running"));
  t.same(moving.outcomes(), ["complete", "complete"]);
  t.ok(moving.now < 100 * SECOND, `complete at ${moving.now}`);
});

t.test("a version that starts to fail late is taken back", async (t) => {
  const moving = new MovingEntries();
  const [first] = moving.entries;
  await moving.runRoundsUntil(() =>
    first!.serviceMove.stored.record.share >= 0.25
  );
  moving.newVersionFails = true;
  await moving.runRoundsUntil(() => !moving.outcomes().includes("running"));
  t.same(moving.outcomes(), ["takenBack", "takenBack"]);
  t.equal(first!.serviceMove.stored.record.reason, "failures");
});

t.test("a crashed driver is replaced and the move completes", async (t) => {
  // Otherwise a move stops for good when its driver crashes midway.
  const moving = new MovingEntries();
  await moving.runRoundsUntil(() => moving.driverIndex() >= 0);
  const crashed = moving.driverIndex();
  moving.stopped.add(crashed);
  const survivor = moving.entries[1 - crashed]!;
  await moving.runRoundsUntil(() => survivor.driver.isDriving);
  await moving.runRoundsUntil(() => !moving.outcomes().includes("running"));
  t.same(moving.outcomes(), ["complete", "complete"]);
  t.equal(survivor.serviceMove.stored.record.fencing, 2);
});

t.test("a driver that resumes after its lease expired changes nothing", async (t) => {
  // Otherwise a driver paused beyond its lease overwrites its successor's step.
  const moving = new MovingEntries();
  await moving.runRoundsUntil(() => moving.driverIndex() >= 0);
  const paused = moving.driverIndex();
  moving.stopped.add(paused);
  const survivor = moving.entries[1 - paused]!;
  await moving.runRoundsUntil(() => survivor.driver.isDriving);
  const before = survivor.serviceMove.stored;
  await moving.entries[paused]!.driver.runRound(moving.now);
  t.equal(moving.entries[paused]!.driver.isDriving, false);
  const found = await moving.store.get(`moves/${MOVE.name}`);
  t.same(JSON.parse(found.isOk ? found.value!.value : ""), before);
});

t.test("after a lost response to a write the record is read again", async (t) => {
  // Otherwise a step that the store applied is written and counted twice.
  const moving = new MovingEntries();
  await moving.runRoundsUntil(() => moving.driverIndex() >= 0);
  moving.store.writeFaults.push("lost_answer");
  await moving.runRoundsUntil(() => !moving.outcomes().includes("running"));
  t.same(moving.outcomes(), ["complete", "complete"]);
});

t.test("during an outage all processes take the move back at its deadline", async (t) => {
  // Otherwise entries disagree, since none can write the outcome to the store.
  const moving = new MovingEntries();
  const [first] = moving.entries;
  await moving.runRoundsUntil(() => first!.serviceMove.stored.record.share > 0);
  moving.store.outage = true;
  await moving.runRoundsUntil(() => moving.now >= 119 * SECOND);
  t.same(moving.outcomes(), ["running", "running"]);
  await moving.runRound();
  await moving.runRound();
  t.same(moving.outcomes(), ["takenBack", "takenBack"]);
});
