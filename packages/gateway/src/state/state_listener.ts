/** A {@link PrefixListener} made of callbacks. @module */
import type { StorePosition } from "@sycamorepulley/decisions";
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import { PrefixListener } from "./prefix_follower.ts";

/** Callbacks of a listener; `onBatchEnd` follows each batch, even if empty. */
export type ListenerCallbacks = {
  onSnapshot: (items: readonly StoredItem[], asOf: StorePosition) => void;
  /** The change belongs to `era` of the store. */
  onChange: (change: ItemChange, era: number) => void;
  onBatchEnd?: (era: number, hasChanges: boolean) => void;
};

/** Passes what a follower reads on to callbacks. */
export class StateListener extends PrefixListener {
  readonly #callbacks: ListenerCallbacks;

  constructor(callbacks: ListenerCallbacks) {
    super();
    this.#callbacks = callbacks;
  }

  override onSnapshot(items: readonly StoredItem[], asOf: StorePosition): void {
    this.#callbacks.onSnapshot(items, asOf);
  }

  override onChanges(changes: readonly ItemChange[], era: number): void {
    for (const change of changes) this.#callbacks.onChange(change, era);
    this.#callbacks.onBatchEnd?.(era, changes.length > 0);
  }
}
