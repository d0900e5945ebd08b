/**
 * Who grants for whom among the entries, and which part of what all entries
 * share a group of them may use.
 *
 * Entries that hear each other are a group; one of them, the same in the eyes of
 * each, grants for all, so that there is one queue in front of all engines. When
 * the fleet is divided each group goes on by itself. Its part is its size over
 * that of the fleet, so that the groups together never use more than the whole.
 * @module
 */
import { hashText } from "../placement/hash_text.ts";

/**
 * Part of its share of the quotas that a group uses once the others have dropped
 * it from the fleet and use that share as well. Quotas allow a tenth beyond.
 */
const DROPPED_PART = 0.2;
/**
 * Milliseconds for which an entry that is registered no more is still counted:
 * longer than any window of quotas (8 s), and than a restart.
 */
export const COUNTED_FOR = 10_000;

/** An entry that may grant, and what its instance can carry. */
export type AbleEntry = {
  name: string;
  /** In cores. */
  processors: number;
};

/**
 * The entry that grants for the group: the same one whoever of it asks. It is the
 * one with the most processor time. Instances differ by a factor of five: where
 * the hash alone chose, a burst of 3,000 requests a second made a weak one answer
 * seconds late, and callers of every service gave up on it and came again.
 */
export function grantingEntry(able: readonly AbleEntry[]): string | undefined {
  let best: AbleEntry | undefined;
  for (const entry of able) {
    if (best === undefined || goesBefore(entry, best)) best = entry;
  }
  return best?.name;
}

function goesBefore(one: AbleEntry, other: AbleEntry): boolean {
  if (one.processors !== other.processors) {
    return one.processors > other.processors;
  }
  const hash = hashText(one.name);
  const otherHash = hashText(other.name);
  return hash === otherHash ? one.name < other.name : hash > otherHash;
}

/** What {@link groupParts} goes by. */
export type GroupView = {
  /** Entries that hear each other, this one included. */
  group: ReadonlySet<string>;
  /** Entries registered in the store now or until a moment ago. */
  counted: ReadonlySet<string>;
  /** Some entry of the group is still counted by the others. */
  listed: boolean;
};

/** Parts, above 0 and up to 1, of what all entries share. */
export type GroupParts = {
  /** Of servers' places: too much of it costs time only. */
  room: number;
  /** Of quotas: never above the whole in sum. */
  quota: number;
};

/** The group's parts; see the module. */
export function groupParts(view: GroupView): GroupParts {
  let others = 0;
  for (const name of view.counted) {
    if (!view.group.has(name)) others++;
  }
  const size = view.group.size;
  const room = size / (size + others);
  const alone = others === 0 || view.listed;
  return { room, quota: alone ? room : room * DROPPED_PART };
}
