/** From what a follower reads to what is believed. @module */
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import { PrefixListener } from "./prefix_follower.ts";

/** What to do with what is read. */
export type ListenerActions = {
  snapshot: (items: readonly StoredItem[], asOf: number) => void;
  change: (change: ItemChange) => void;
  advanced?: (asOf: number, any: boolean) => void;
};

/** Listens to one prefix of the store. */
export class StateListener extends PrefixListener {
  readonly #actions: ListenerActions;

  constructor(actions: ListenerActions) {
    super();
    this.#actions = actions;
  }

  override snapshot(items: readonly StoredItem[], asOf: number): void {
    this.#actions.snapshot(items, asOf);
  }

  override changes(changes: readonly ItemChange[], asOf: number): void {
    for (const change of changes) this.#actions.change(change);
    this.#actions.advanced?.(asOf, changes.length > 0);
  }
}
