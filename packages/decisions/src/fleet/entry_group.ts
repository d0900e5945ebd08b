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
 * Part of its proportional share that a group uses when none of it holds a
 * lease in the store: the others have then dropped it from the fleet and use its
 * share as well. Quotas allow a tenth beyond the rate, and a slack.
 */
const UNLISTED_PART = 0.5;

/** The entry that grants for the group: the same one whoever of it asks. */
export function grantingEntry(names: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestHash = -1;
  for (const name of [...names].sort()) {
    const hash = hashText(name);
    if (hash > bestHash) {
      best = name;
      bestHash = hash;
    }
  }
  return best;
}

/** What {@link groupPart} goes by. */
export type GroupView = {
  /** Entries that hear each other, this one included. */
  group: ReadonlySet<string>;
  /** Entries registered in the store, as far as known. */
  registered: ReadonlySet<string>;
  /** Some entry of the group holds its lease, so the others count it. */
  listed: boolean;
};

/** The part, above 0 and up to 1, of what all entries share. */
export function groupPart(view: GroupView): number {
  let others = 0;
  for (const name of view.registered) {
    if (!view.group.has(name)) others++;
  }
  const size = view.group.size;
  const part = size / (size + others);
  return view.listed || others === 0 ? part : part * UNLISTED_PART;
}
