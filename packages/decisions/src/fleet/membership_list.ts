/**
 * The entries among which quotas and capacity are divided, including those that
 * are no longer registered.
 *
 * An entry whose registration has expired may still be running: the store
 * rejects its calls, or the network is partitioned. It can't know at once, so
 * it continues to use its full share for a grace period, and a fifth of it
 * afterwards. The other entries reserve the same for it.
 * @module
 */

/**
 * Milliseconds for which an unregistered entry still counts at its full share:
 * longer than any quota window (8 s) and than a restart.
 */
export const UNREGISTERED_GRACE_PERIOD = 10_000;
/** Share of an entry whose grace period has passed. */
export const REDUCED_SHARE = 0.2;
/**
 * Milliseconds after the grace period for which the reduced share is reserved.
 */
const REDUCED_SHARE_DURATION = 600_000;

/** Registered and recently registered entries; times in milliseconds. */
export class MembershipList {
  readonly #registered = new Set<string>();
  /** Unregistered entries, with the end of their grace period. */
  readonly #graceEnds = new Map<string, number>();
  /** Entries that announced that they stop. */
  readonly #draining = new Set<string>();

  /** Replaces the registered entries. */
  replace(names: Iterable<string>, now: number): void {
    const before = [...this.#registered];
    this.#registered.clear();
    for (const name of names) this.markRegistered(name);
    for (const name of before) {
      if (!this.#registered.has(name)) {
        this.#setGraceEnd(name, now + UNREGISTERED_GRACE_PERIOD);
      }
    }
  }

  markRegistered(name: string): void {
    this.#registered.add(name);
    this.#graceEnds.delete(name);
    this.#draining.delete(name);
  }

  /** Starts the grace period of an entry whose registration is gone. */
  markUnregistered(name: string, now: number): void {
    if (this.#registered.delete(name)) {
      this.#setGraceEnd(name, now + UNREGISTERED_GRACE_PERIOD);
    }
  }

  /**
   * Records that an entry announced its stop, so that nothing is reserved for
   * it after its grace period.
   */
  markDraining(name: string): void {
    this.#draining.add(name);
  }

  /**
   * Merges the remaining grace period that a peer reports for an entry, in
   * milliseconds.
   */
  mergeFromPeer(name: string, countedFor: number, now: number): void {
    if (this.#registered.has(name)) return;
    const graceEnd = now + Math.min(countedFor, UNREGISTERED_GRACE_PERIOD);
    this.#setGraceEnd(
      name,
      Math.max(graceEnd, this.#graceEnds.get(name) ?? -Infinity),
    );
  }

  /**
   * Returns the remaining milliseconds at full share of each entry, for peers.
   */
  countedFor(now: number): Map<string, number> {
    this.#removeExpired(now);
    const times = new Map<string, number>();
    for (const [name, graceEnd] of this.#graceEnds) {
      times.set(name, Math.max(0, graceEnd - now));
    }
    for (const name of this.#registered) {
      times.set(name, UNREGISTERED_GRACE_PERIOD);
    }
    return times;
  }

  /** Returns the share reserved for each entry: 1, or the reduced share. */
  shares(now: number): Map<string, number> {
    this.#removeExpired(now);
    const shares = new Map<string, number>();
    for (const [name, graceEnd] of this.#graceEnds) {
      shares.set(name, now < graceEnd ? 1 : REDUCED_SHARE);
    }
    for (const name of this.#registered) shares.set(name, 1);
    return shares;
  }

  #setGraceEnd(name: string, graceEnd: number): void {
    this.#graceEnds.set(name, graceEnd);
  }

  #removeExpired(now: number): void {
    for (const [name, graceEnd] of this.#graceEnds) {
      const duration = this.#draining.has(name) ? 0 : REDUCED_SHARE_DURATION;
      if (now < graceEnd + duration) continue;
      this.#graceEnds.delete(name);
      this.#draining.delete(name);
    }
  }
}
