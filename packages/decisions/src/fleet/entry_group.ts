/**
 * Determines which entry grants for a group of entries, and which fractions of
 * the fleet's capacity and quotas that entry may use.
 *
 * Entries that receive each other's heartbeats form a group. All of them choose
 * the same granting entry, so that there is one queue in front of all engines.
 * Reachability is not always mutual: an entry may be connected to two others
 * that are not connected to each other, and count as present in the groups of
 * both. It sends its grant requests to only one of them, however. A granting
 * entry therefore uses the shares of the entries that send it their requests,
 * and the fractions of all groups never add up to more than 1.
 * @module
 */
import { hashText } from "../placement/hash_text.ts";
import { REDUCED_SHARE } from "./membership_list.ts";

/** An entry that may become the granting entry. */
export type GrantCandidate = {
  name: string;
  /** Processor time of its instance, in cores. */
  processors: number;
};

/**
 * Selects the granting entry; the result does not depend on the order of the
 * candidates. All requests of the group pass through it and instances differ
 * widely, so the one with the most processor time is selected; a hash decides
 * among equals. An instance with a quarter of a core that granted for 25
 * entries responded 1.5 s late at 3,000 requests a second.
 */
export function selectGrantingEntry(
  candidates: readonly GrantCandidate[],
): string | undefined {
  const most = Math.max(...candidates.map(({ processors }) => processors));
  let best: { name: string; hash: number } | undefined;
  for (const { name, processors } of candidates) {
    if (processors !== most) continue;
    const candidate = { name, hash: hashText(name) };
    if (best === undefined || ranksBefore(candidate, best)) best = candidate;
  }
  return best?.name;
}

function ranksBefore(
  one: { name: string; hash: number },
  other: { name: string; hash: number },
): boolean {
  return one.hash === other.hash
    ? one.name < other.name
    : one.hash > other.hash;
}

/** An entry that is connected to this one, or this one itself. */
export type ReachableEntry = {
  name: string;
  /** The other entries certainly count it at its full share. */
  listed: boolean;
  /** It sends its grant requests to this entry. */
  asksThisEntry: boolean;
};

/** Input of {@link groupFractions}. */
export type GroupView = {
  reachable: readonly ReachableEntry[];
  /** Share reserved for each known entry; see `MembershipList.shares`. */
  shares: ReadonlyMap<string, number>;
  /** The largest total of shares that a peer reports. */
  reportedTotalShares: number;
};

/** Fractions, 0 to 1, of what the whole fleet may use. */
export type GroupFractions = {
  /** Of the servers' capacity; exceeding it in sum only costs time. */
  room: number;
  /** Of the quotas; these never add up to more than 1 in the fleet. */
  quota: number;
};

/** Returns the sum of the shares of all entries that this one knows. */
export function totalShares(
  view: Omit<GroupView, "reportedTotalShares">,
): number {
  const shares = new Map(view.shares);
  for (const entry of view.reachable) {
    const known = shares.get(entry.name) ?? 0;
    shares.set(entry.name, Math.max(known, shareInUse(entry)));
  }
  return sum(shares.values());
}

/** Returns the fractions that this entry may grant as the granting entry. */
export function groupFractions(view: GroupView): GroupFractions {
  const { reachable, shares, reportedTotalShares } = view;
  const asking = reachable.filter(({ asksThisEntry }) => asksThisEntry);
  const atFullShare = [...shares].filter(([, share]) => share === 1)
    .map(([name]) => name);
  const counted = new Set([...atFullShare, ...asking.map(({ name }) => name)]);
  const fleet = Math.max(totalShares(view), reportedTotalShares);
  const used = sum(asking.map(shareInUse));
  return {
    room: counted.size === 0 ? 0 : asking.length / counted.size,
    quota: fleet === 0 ? 0 : used / fleet,
  };
}

/** Share that the entry uses; reduced once others may not count it in full. */
function shareInUse({ listed }: ReachableEntry): number {
  return listed ? 1 : REDUCED_SHARE;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
