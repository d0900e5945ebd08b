/** Notices that registered entries can't reach each other. @module */

/** Milliseconds in which entries that have just registered are connected. */
const CONNECT_TIME = 1000;

/** Detects that this entry has no link to a registered one. */
export class FleetDivision {
  #unlinkedSince: number | undefined;

  /** `registered` and `linked`: names of other entries. */
  update(
    registered: Iterable<string>,
    linked: ReadonlySet<string>,
    now: number,
  ): void {
    const isUnlinked = [...registered].some((name) => !linked.has(name));
    if (isUnlinked) this.#unlinkedSince ??= now;
    else this.#unlinkedSince = undefined;
  }

  isDivided(now: number): boolean {
    return this.#unlinkedSince !== undefined &&
      now - this.#unlinkedSince >= CONNECT_TIME;
  }
}
