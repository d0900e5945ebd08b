/**
 * The entries that share what all of them together may use, also those that are
 * registered no more.
 *
 * An entry whose registration has run out may live on: the store turns it away,
 * or it is cut off. For a while it goes by its whole share, since it can't know
 * sooner, and by a fifth of it from then on. So the others leave it as much.
 * @module
 */

/**
 * Milliseconds for which an entry that is registered no more is still counted:
 * longer than any window of quotas (8 s), and than a restart.
 */
export const UNREGISTERED_GRACE_PERIOD = 10_000;
/** Part of its share that an entry uses which the others count no more. */
export const REDUCED_SHARE = 0.2;
/** Milliseconds for which that part is left to it. */
const LEFT_FOR = 600_000;

/** See the module; times in milliseconds. */
export class MembershipList {
  readonly #registered = new Set<string>();
  /** Entries that are registered no more, and until when they are counted. */
  readonly #departed = new Map<string, number>();
  /** Entries that said that they leave. */
  readonly #leaving = new Set<string>();

  /** Takes over who is registered. */
  replace(names: Iterable<string>, now: number): void {
    const before = [...this.#registered];
    this.#registered.clear();
    for (const name of names) this.markRegistered(name);
    for (const name of before) {
      if (!this.#registered.has(name)) {
        this.#depart(name, now + UNREGISTERED_GRACE_PERIOD);
      }
    }
  }

  markRegistered(name: string): void {
    this.#registered.add(name);
    this.#departed.delete(name);
    this.#leaving.delete(name);
  }

  /** The registration is gone. */
  markUnregistered(name: string, now: number): void {
    if (this.#registered.delete(name)) {
      this.#depart(name, now + UNREGISTERED_GRACE_PERIOD);
    }
  }

  /** An entry says that it ends: nothing is left to it once it isn't counted. */
  markLeaving(name: string): void {
    this.#leaving.add(name);
  }

  /** A peer counts the entry for so many milliseconds more. */
  mergeFromPeer(name: string, countedFor: number, now: number): void {
    if (this.#registered.has(name)) return;
    const until = now + Math.min(countedFor, UNREGISTERED_GRACE_PERIOD);
    this.#depart(name, Math.max(until, this.#departed.get(name) ?? -Infinity));
  }

  /** Milliseconds for which each entry is counted, to tell a peer. */
  countedFor(now: number): Map<string, number> {
    this.#forget(now);
    const times = new Map<string, number>();
    for (const [name, until] of this.#departed) {
      times.set(name, Math.max(0, until - now));
    }
    for (const name of this.#registered) {
      times.set(name, UNREGISTERED_GRACE_PERIOD);
    }
    return times;
  }

  /** The part of a share that is left to each entry: 1, or what is left to it. */
  shares(now: number): Map<string, number> {
    this.#forget(now);
    const shares = new Map<string, number>();
    for (const [name, until] of this.#departed) {
      shares.set(name, now < until ? 1 : REDUCED_SHARE);
    }
    for (const name of this.#registered) shares.set(name, 1);
    return shares;
  }

  #depart(name: string, until: number): void {
    this.#departed.set(name, until);
  }

  #forget(now: number): void {
    for (const [name, until] of this.#departed) {
      const leftFor = this.#leaving.has(name) ? 0 : LEFT_FOR;
      if (now < until + leftFor) continue;
      this.#departed.delete(name);
      this.#leaving.delete(name);
    }
  }
}
