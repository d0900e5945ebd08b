/** Several listeners of one prefix. @module */
import type { StorePosition } from "@sycamorepulley/decisions";
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import { PrefixListener } from "./prefix_follower.ts";

/** Passes what a follower reads on to each listener, in order. */
export class ListenerGroup extends PrefixListener {
  readonly #listeners: readonly PrefixListener[];

  constructor(listeners: readonly PrefixListener[]) {
    super();
    this.#listeners = listeners;
  }

  override onSnapshot(items: readonly StoredItem[], asOf: StorePosition): void {
    for (const listener of this.#listeners) listener.onSnapshot(items, asOf);
  }

  override onChanges(changes: readonly ItemChange[], era: number): void {
    for (const listener of this.#listeners) listener.onChanges(changes, era);
  }
}
