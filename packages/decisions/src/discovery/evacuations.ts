/**
 * Data centres whose servers may not be sent requests, by order of an operator.
 *
 * Changes arrive from the store and from peers, and an older one may arrive
 * after a newer one, so each has the position at which it was written. A store
 * that was restored from a copy without an evacuation doesn't end it: nobody
 * has taken it back. It ends when its key is removed afterwards.
 * @module
 */
import { isLater } from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";

/** Maximum number of data centres; one that is not evacuated is evicted. */
const MAXIMUM_DATA_CENTRES = 256;

/** The start or the end of an evacuation, as written to the store. */
export type EvacuationChange = {
  dataCentre: string;
  evacuated: boolean;
  position: StorePosition;
};

/** The newest change of each data centre. */
export class Evacuations {
  readonly #changes = new Map<string, EvacuationChange>();

  isEvacuated(dataCentre: string): boolean {
    return this.#changes.get(dataCentre)?.evacuated ?? false;
  }

  /** Names of the evacuated data centres, sorted. */
  evacuated(): string[] {
    return this.changes().filter(({ evacuated }) => evacuated)
      .map(({ dataCentre }) => dataCentre).sort();
  }

  /** All known changes, for peers. */
  changes(): EvacuationChange[] {
    return [...this.#changes.values()];
  }

  /**
   * Applies a change unless a newer one is known. Returns true if the data
   * centre is evacuated now and was not before, or the reverse.
   */
  apply(change: EvacuationChange): boolean {
    const { dataCentre, evacuated, position } = change;
    const known = this.#changes.get(dataCentre);
    if (known !== undefined && !isLater(position, known.position)) return false;
    this.#changes.delete(dataCentre);
    this.#changes.set(dataCentre, change);
    this.#evict();
    return evacuated !== (known?.evacuated ?? false);
  }

  /**
   * Merges a complete read of the store as of `asOf`. Returns the changes that
   * took effect.
   */
  mergeStoreRead(
    stored: readonly EvacuationChange[],
    asOf: StorePosition,
  ): EvacuationChange[] {
    const found = new Set(stored.map(({ dataCentre }) => dataCentre));
    const ended = this.changes()
      .filter(({ dataCentre, evacuated, position }) =>
        evacuated && !found.has(dataCentre) && position.era === asOf.era
      )
      .map(({ dataCentre }) => ({
        dataCentre,
        evacuated: false,
        position: asOf,
      }));
    return [...stored, ...ended].filter((change) => this.apply(change));
  }

  #evict(): void {
    if (this.#changes.size <= MAXIMUM_DATA_CENTRES) return;
    for (const { dataCentre, evacuated } of this.#changes.values()) {
      if (evacuated) continue;
      this.#changes.delete(dataCentre);
      return;
    }
  }
}
