import fc from "fast-check";
import t from "tap";
import { Evacuations } from "../src/mod.ts";
import type { EvacuationChange } from "../src/mod.ts";
import { at } from "./server_record.ts";

function started(dataCentre: string, revision: number, era = 1) {
  return { dataCentre, evacuated: true, position: at(revision, era) };
}

function ended(dataCentre: string, revision: number, era = 1) {
  return { dataCentre, evacuated: false, position: at(revision, era) };
}

t.test("an older change does not undo a newer one", (t) => {
  const evacuations = new Evacuations();
  t.ok(evacuations.apply(started("a", 5)));
  t.notOk(evacuations.apply(ended("a", 4)));
  t.ok(evacuations.isEvacuated("a"));
  t.ok(evacuations.apply(ended("a", 6)));
  t.notOk(evacuations.apply(started("a", 5)));
  t.notOk(evacuations.isEvacuated("a"));
  t.end();
});

t.test("a read of the store ends what it lacks, and nothing newer", (t) => {
  const evacuations = new Evacuations();
  evacuations.apply(started("a", 5));
  evacuations.apply(started("b", 9));
  evacuations.mergeStoreRead([], at(7));
  t.same(evacuations.evacuated(), ["b"]);
  t.end();
});

t.test("a restored copy without an evacuation does not end it", (t) => {
  // Guards against sending to a data centre whose evacuation nobody took back.
  const evacuations = new Evacuations();
  evacuations.apply(started("a", 5));
  evacuations.mergeStoreRead([], at(3, 2));
  t.ok(evacuations.isEvacuated("a"));
  evacuations.apply(ended("a", 4, 2));
  t.notOk(evacuations.isEvacuated("a"));
  t.end();
});

t.test("entries agree, in whatever order and however often changes arrive", (t) => {
  const change = fc.record({
    dataCentre: fc.constantFrom("a", "b", "c"),
    evacuated: fc.boolean(),
    revision: fc.integer({ min: 1, max: 1000 }),
  });
  const changes = fc.uniqueArray(change, {
    selector: ({ revision }) => revision,
    maxLength: 30,
  }).map((list): EvacuationChange[] =>
    list.map(({ revision, ...rest }) => ({ ...rest, position: at(revision) }))
  );
  const shuffled = changes.chain((list) =>
    fc.tuple(
      fc.constant(list),
      fc.shuffledSubarray([...list, ...list], {
        minLength: 2 * list.length,
      }),
    )
  );
  fc.assert(fc.property(shuffled, ([inOrder, disordered]) => {
    const [one, other] = [new Evacuations(), new Evacuations()];
    for (const item of inOrder) one.apply(item);
    for (const item of disordered) other.apply(item);
    return JSON.stringify(one.evacuated()) ===
      JSON.stringify(other.evacuated());
  }));
  t.end();
});
