/**
 * Who grants for whom among the entries, and which part of what all entries
 * share the one that grants may use.
 *
 * Entries that hear each other are a group; one of them, the same in the eyes of
 * each, grants for all, so that there is one queue in front of all engines.
 * Hearing is not always mutual: an entry may be heard by two others that do not
 * hear each other, and count in the groups of both. But it asks one of them only.
 * So whoever grants uses the shares of those that ask it, and all parts together
 * never are more than the whole.
 * @module
 */
import { hashText } from "../placement/hash_text.ts";
import { REDUCED_SHARE } from "./membership_list.ts";

/** An entry that may grant, and what its instance can carry. */
export type GrantCandidate = {
  name: string;
  /** In cores. */
  processors: number;
};

/**
 * The entry that grants for the group: the same one whoever of it asks. It is the
 * one with the most processor time, as instances differ widely and all requests of
 * the group pass it; a hash decides among equals.
 */
export function selectGrantingEntry(
  able: readonly GrantCandidate[],
): string | undefined {
  let best: GrantCandidate | undefined;
  for (const entry of able) {
    if (best === undefined || goesBefore(entry, best)) best = entry;
  }
  return best?.name;
}

function goesBefore(one: GrantCandidate, other: GrantCandidate): boolean {
  if (one.processors !== other.processors) {
    return one.processors > other.processors;
  }
  const hash = hashText(one.name);
  const otherHash = hashText(other.name);
  return hash === otherHash ? one.name < other.name : hash > otherHash;
}

/** An entry that is heard, or this one. */
export type PresentEntry = {
  name: string;
  /** The others certainly count it. */
  listed: boolean;
  /** It asks this entry, and nobody else, for servers. */
  asksThisEntry: boolean;
};

/** What {@link groupFractions} goes by. */
export type GroupView = {
  present: readonly PresentEntry[];
  /** What is left to each entry that is known; see `EntryRoll.shares`. */
  shares: ReadonlyMap<string, number>;
  /** The most shares that a peer counts. */
  stated: number;
};

/** Parts, up to 1, of what all entries share. */
export type GroupFractions = {
  /** Of servers' places: too much of it costs time only. */
  room: number;
  /** Of quotas: never above the whole in sum. */
  quota: number;
};

/** Shares that all entries have together, as far as this one knows. */
export function totalShares(view: Omit<GroupView, "stated">): number {
  const shares = new Map(view.shares);
  for (const entry of view.present) {
    const known = shares.get(entry.name) ?? 0;
    shares.set(entry.name, Math.max(known, ownShare(entry)));
  }
  return sum(shares.values());
}

/** The parts that this entry grants from; see the module. */
export function groupFractions(view: GroupView): GroupFractions {
  const { present, shares, stated } = view;
  const asking = present.filter(({ asksThisEntry: asks }) => asks);
  const full = [...shares].filter(([, share]) => share === 1)
    .map(([name]) => name);
  const counted = new Set([...full, ...asking.map(({ name }) => name)]);
  const fleet = Math.max(totalShares(view), stated);
  const used = sum(asking.map(ownShare));
  return {
    room: counted.size === 0 ? 0 : asking.length / counted.size,
    quota: fleet === 0 ? 0 : used / fleet,
  };
}

/** What an entry goes by: its share, or a part of it once it was dropped. */
function ownShare({ listed }: PresentEntry): number {
  return listed ? 1 : REDUCED_SHARE;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
