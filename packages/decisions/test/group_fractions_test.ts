import fc from "fast-check";
import t from "tap";
import { groupFractions, MembershipList, totalShares } from "../src/mod.ts";
import type { GroupFractions, PresentEntry } from "../src/mod.ts";

const NAMES = ["a", "b", "c", "d", "e"];

function rolled(names: readonly string[]): MembershipList {
  const roll = new MembershipList();
  for (const name of names) roll.markRegistered(name);
  return roll;
}

/** What `name` grants from, where each entry asks `asks` of it and hears `hears`. */
function partsOf(
  name: string,
  view: {
    roll: MembershipList;
    hears: readonly string[];
    asks: (entry: string) => string;
    listed?: (entry: string) => boolean;
    now?: number;
  },
): GroupFractions {
  const { roll, hears, asks, listed = () => true, now = 0 } = view;
  const present: PresentEntry[] = [...new Set([name, ...hears])].map((
    entry,
  ) => ({
    name: entry,
    listed: listed(entry),
    asksThisEntry: asks(entry) === name,
  }));
  const shares = roll.shares(now);
  const stated = totalShares({ present, shares });
  return groupFractions({ present, shares, stated });
}

t.test("parts of groups that don't hear each other add up to one", (t) => {
  const roll = rolled(NAMES);
  const asks = (entry: string) => entry < "c" ? "a" : "c";
  const one = partsOf("a", { roll, hears: ["b"], asks });
  const other = partsOf("c", { roll, hears: ["d", "e"], asks });
  t.equal(one.quota + other.quota, 1);
  t.equal(one.room + other.room, 1);
  t.end();
});

t.test("an entry that two hear which don't hear each other counts once", (t) => {
  // Two entries granted with 1.6 of every quota: three others counted for both.
  const roll = rolled(NAMES);
  const asks = (entry: string) => entry === "e" ? "e" : "a";
  const one = partsOf("a", { roll, hears: ["b", "c", "d"], asks });
  const other = partsOf("e", { roll, hears: ["b", "c", "d"], asks });
  t.equal(one.quota, 0.8);
  t.equal(other.quota, 0.2);
  t.end();
});

t.test("whoever hears whom, the parts are never more than the whole", (t) => {
  const choice = fc.array(fc.integer({ min: 0, max: 4 }), {
    minLength: 5,
    maxLength: 5,
  });
  fc.assert(fc.property(choice, (choice) => {
    const asks = (entry: string) => NAMES[choice[NAMES.indexOf(entry)]!]!;
    const roll = rolled(NAMES);
    let quota = 0;
    for (const name of NAMES) {
      // It hears at least those that ask it.
      const hears = NAMES.filter((entry) => asks(entry) === name);
      quota += partsOf(name, { roll, hears, asks }).quota;
    }
    return Math.abs(quota - 1) < 1e-9;
  }));
  t.end();
});

t.test("a peer that counts more entries is believed", (t) => {
  // An entry that has just started doesn't know those whose registration is gone.
  const present = [{ name: "d", listed: true, asksThisEntry: true }];
  const shares = rolled(["d"]).shares(0);
  t.equal(groupFractions({ present, shares, stated: 5 }).quota, 0.2);
  t.equal(groupFractions({ present, shares, stated: 0 }).quota, 1);
  t.end();
});

t.test("an entry that was dropped and those that dropped it stay within the whole", (t) => {
  for (const size of [2, 3, 5]) {
    const names = NAMES.slice(0, size);
    const [away = "", ...rest] = names;
    const theirs = rolled(names);
    theirs.markUnregistered(away, 0);
    const own = rolled(names);
    const listed = (entry: string) => entry !== away;
    for (const now of [0, 9999, 10_000, 60_000, 500_000]) {
      // It knows by its own lease when the others drop it, or sooner.
      const dropped = now >= 9000;
      const alone = partsOf(away, {
        roll: own,
        hears: [],
        asks: () => away,
        listed: () => !dropped,
        now,
      });
      const others = partsOf(rest[0]!, {
        roll: theirs,
        hears: rest,
        asks: () => rest[0]!,
        listed,
        now,
      });
      t.ok(alone.quota + others.quota <= 1 + 1e-9, `${size} at ${now}`);
      t.ok(others.quota > (size - 1) / size - 1e-9);
    }
  }
  t.end();
});

t.test("nothing is left to an entry that said it leaves", (t) => {
  const roll = rolled(NAMES);
  roll.markLeaving("e");
  roll.markUnregistered("e", 0);
  t.equal(roll.shares(9999).get("e"), 1);
  t.notOk(roll.shares(10_001).has("e"));
  roll.markRegistered("e");
  roll.markUnregistered("e", 20_000);
  t.equal(roll.shares(40_000).get("e"), 0.2, "a later start didn't say so");
  t.end();
});

t.test("what a peer tells of an entry is counted for as long as there", (t) => {
  const roll = rolled(["a"]);
  roll.mergeFromPeer("b", 4000, 1000);
  roll.mergeFromPeer("a", 4000, 1000);
  t.same([...roll.countedFor(2000)].sort(), [["a", 10_000], ["b", 3000]]);
  t.same(roll.shares(4999).get("b"), 1);
  t.same(roll.shares(5001).get("b"), 0.2);
  t.end();
});
