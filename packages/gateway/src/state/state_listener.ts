/** A {@link PrefixListener} made of callbacks. @module */
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import { PrefixListener } from "./prefix_follower.ts";

/** Callbacks of a listener; `onBatchEnd` follows each batch, even if empty. */
export type ListenerCallbacks = {
  onSnapshot: (items: readonly StoredItem[], asOf: number) => void;
  onChange: (change: ItemChange) => void;
  onBatchEnd?: (asOf: number, hasChanges: boolean) => void;
};

/** Passes what a follower reads on to callbacks. */
export class StateListener extends PrefixListener {
  readonly #callbacks: ListenerCallbacks;

  constructor(callbacks: ListenerCallbacks) {
    super();
    this.#callbacks = callbacks;
  }

  override onSnapshot(items: readonly StoredItem[], asOf: number): void {
    this.#callbacks.onSnapshot(items, asOf);
  }

  override onChanges(changes: readonly ItemChange[], asOf: number): void {
    for (const change of changes) this.#callbacks.onChange(change);
    this.#callbacks.onBatchEnd?.(asOf, changes.length > 0);
  }
}
