/**
 * Whether this entry and the entries connected to it can learn what others
 * conclude: through the store, or because they are most of the fleet.
 * @module
 */

/** Contact of a group of connected entries with the store. */
export class GroupContact {
  readonly #ownAge: () => number | undefined;
  readonly #clock: () => number;
  /** Last known response of the store to a peer. */
  #peerContactAt = -Infinity;

  constructor(options: {
    /** Milliseconds since the store responded to this entry, if it ever has. */
    ownAge: () => number | undefined;
    clock: () => number;
  }) {
    this.#ownAge = options.ownAge;
    this.#clock = options.clock;
  }

  /** `age`: milliseconds since the store responded to a connected peer. */
  recordPeerContact(age: number | undefined): void {
    if (age === undefined) return;
    this.#peerContactAt = Math.max(this.#peerContactAt, this.#clock() - age);
  }

  /** Milliseconds since the store responded to any entry of the group. */
  get age(): number {
    const peerAge = this.#clock() - this.#peerContactAt;
    return Math.min(this.#ownAge() ?? Infinity, peerAge);
  }

  /**
   * True once the group has had no contact for `duration` milliseconds and may
   * be the smaller part of the fleet. `registered` and `linked`: names of the
   * other entries.
   */
  isCutOff(
    duration: number,
    registered: readonly string[],
    linked: ReadonlySet<string>,
  ): boolean {
    if (this.age <= duration) return false;
    const reached = registered.filter((name) => linked.has(name)).length;
    return 2 * (reached + 1) <= registered.length + 1;
  }
}
