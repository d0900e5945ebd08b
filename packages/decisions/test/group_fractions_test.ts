import fc from "fast-check";
import t from "tap";
import { groupFractions, MembershipList, totalShares } from "../src/mod.ts";
import type { GroupFractions, ReachableEntry } from "../src/mod.ts";

const NAMES = ["a", "b", "c", "d", "e"];

function membersOf(names: readonly string[]): MembershipList {
  const members = new MembershipList();
  for (const name of names) members.markRegistered(name);
  return members;
}

/**
 * Returns the fractions that the entry `name` uses, if it is connected to
 * `peers` and each entry sends its grant requests to its `grantingEntryOf`.
 */
function fractionsOf(
  name: string,
  view: {
    members: MembershipList;
    peers: readonly string[];
    grantingEntryOf: (entry: string) => string;
    listed?: (entry: string) => boolean;
    now?: number;
  },
): GroupFractions {
  const { members, peers, grantingEntryOf, listed = () => true, now = 0 } =
    view;
  const reachable: ReachableEntry[] = [...new Set([name, ...peers])].map((
    entry,
  ) => ({
    name: entry,
    listed: listed(entry),
    asksThisEntry: grantingEntryOf(entry) === name,
  }));
  const shares = members.shares(now);
  const reportedTotalShares = totalShares({ reachable, shares });
  return groupFractions({ reachable, shares, reportedTotalShares });
}

t.test("the fractions of disconnected groups add up to one", (t) => {
  const members = membersOf(NAMES);
  const grantingEntryOf = (entry: string) => entry < "c" ? "a" : "c";
  const one = fractionsOf("a", { members, peers: ["b"], grantingEntryOf });
  const other = fractionsOf("c", {
    members,
    peers: ["d", "e"],
    grantingEntryOf,
  });
  t.equal(one.quota + other.quota, 1);
  t.equal(one.room + other.room, 1);
  t.end();
});

t.test("an entry connected to two groups counts in one of them", (t) => {
  // Three entries counted in two groups, which together used 1.6 of a quota.
  const members = membersOf(NAMES);
  const grantingEntryOf = (entry: string) => entry === "e" ? "e" : "a";
  const one = fractionsOf("a", {
    members,
    peers: ["b", "c", "d"],
    grantingEntryOf,
  });
  const other = fractionsOf("e", {
    members,
    peers: ["b", "c", "d"],
    grantingEntryOf,
  });
  t.equal(one.quota, 0.8);
  t.equal(other.quota, 0.2);
  t.end();
});

t.test("the fractions add up to one for any choice of granting entries", (t) => {
  const choice = fc.array(fc.integer({ min: 0, max: 4 }), {
    minLength: 5,
    maxLength: 5,
  });
  fc.assert(fc.property(choice, (choice) => {
    const grantingEntryOf = (entry: string) =>
      NAMES[choice[NAMES.indexOf(entry)]!]!;
    const members = membersOf(NAMES);
    let quota = 0;
    for (const name of NAMES) {
      // An entry is connected at least to those that it grants for.
      const peers = NAMES.filter((entry) => grantingEntryOf(entry) === name);
      quota += fractionsOf(name, { members, peers, grantingEntryOf }).quota;
    }
    return Math.abs(quota - 1) < 1e-9;
  }));
  t.end();
});

t.test("the larger total of shares counts, a peer's or the entry's own", (t) => {
  // An entry that has just started does not know unregistered entries.
  const reachable = [{ name: "d", listed: true, asksThisEntry: true }];
  const shares = membersOf(["d"]).shares(0);
  t.equal(
    groupFractions({ reachable, shares, reportedTotalShares: 5 })
      .quota,
    0.2,
  );
  t.equal(
    groupFractions({ reachable, shares, reportedTotalShares: 0 })
      .quota,
    1,
  );
  t.end();
});

t.test("an unregistered entry and the others together use at most the whole quota", (t) => {
  for (const size of [2, 3, 5]) {
    const names = NAMES.slice(0, size);
    const [dropped = "", ...rest] = names;
    const othersMembers = membersOf(names);
    othersMembers.markUnregistered(dropped, 0);
    const ownMembers = membersOf(names);
    const listed = (entry: string) => entry !== dropped;
    for (const now of [0, 9999, 10_000, 60_000, 500_000]) {
      // The entry knows from its lease, at the latest when the others drop it.
      const isDropped = now >= 9000;
      const alone = fractionsOf(dropped, {
        members: ownMembers,
        peers: [],
        grantingEntryOf: () => dropped,
        listed: () => !isDropped,
        now,
      });
      const others = fractionsOf(rest[0]!, {
        members: othersMembers,
        peers: rest,
        grantingEntryOf: () => rest[0]!,
        listed,
        now,
      });
      t.ok(alone.quota + others.quota <= 1 + 1e-9, `${size} at ${now}`);
      t.ok(others.quota > (size - 1) / size - 1e-9);
    }
  }
  t.end();
});

t.test("an entry that announced its stop keeps no share after the grace period", (t) => {
  const members = membersOf(NAMES);
  members.markDraining("e");
  members.markUnregistered("e", 0);
  t.equal(members.shares(9999).get("e"), 1);
  t.notOk(members.shares(10_001).has("e"));
  members.markRegistered("e");
  members.markUnregistered("e", 20_000);
  t.equal(
    members.shares(40_000).get("e"),
    0.2,
    "not announced after a later start",
  );
  t.end();
});

t.test("an entry reported by a peer counts as long as for that peer", (t) => {
  const members = membersOf(["a"]);
  members.mergeFromPeer("b", 4000, 1000);
  members.mergeFromPeer("a", 4000, 1000);
  t.same([...members.countedFor(2000)].sort(), [["a", 10_000], ["b", 3000]]);
  t.same(members.shares(4999).get("b"), 1);
  t.same(members.shares(5001).get("b"), 0.2);
  t.end();
});
