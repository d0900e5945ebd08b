import t from "tap";
import { MoveFleet } from "../src/mod.ts";

t.test("another entry drives on when the driver is killed", async (t) => {
  // A version move stands still: the instance that drove it died midway. Its
  // lease lapses, another takes over, raises the fencing number and ends it.
  const moving = await MoveFleet.start(70_000);
  t.teardown(() => moving.stop());
  const [first, second] = moving.fleet.entries;
  const driver = await moving.driver();
  const survivor = driver === first ? second! : first!;
  await moving.begun(survivor);
  await driver.process.kill();
  void moving.feed();
  const move = await moving.ended(survivor, 60_000);
  t.match(move, { state: "complete", detail: /driver 2/ });
});

t.test("a service that is down over the deadline ends it alike", async (t) => {
  // The key-value service goes down in the midst of a move and stays down.
  // Nobody can write an end, so the rule must: at the deadline every process
  // takes the move back by itself, and all come to the same end.
  const moving = await MoveFleet.start(30_000);
  t.teardown(() => moving.stop());
  const [first, second] = moving.fleet.entries;
  await Promise.all([moving.begun(first!), moving.begun(second!)]);
  await moving.fleet.keyValueStore.putFaults({ outage: "refuse" });
  const ends = await Promise.all([
    moving.ended(first!, 60_000),
    moving.ended(second!, 60_000),
  ]);
  t.match(ends, [
    { state: "taken_back", share: 0 },
    { state: "taken_back", share: 0 },
  ]);
});
