/** From what a follower reads to what is believed. @module */
import type {
  ItemChange,
  PlatformError,
  StoredItem,
} from "@sycamorepulley/store";
import type { FleetState } from "./fleet_state.ts";
import { PrefixListener } from "./prefix_follower.ts";

/** What to do with what is read. */
export type ListenerActions = {
  snapshot: (items: readonly StoredItem[], asOf: number) => void;
  change: (change: ItemChange) => void;
  advanced?: (asOf: number, any: boolean) => void;
};

/** Listens to one prefix of the store, and notes whether it answers. */
export class StateListener extends PrefixListener {
  readonly #state: FleetState;
  readonly #prefix: string;
  readonly #actions: ListenerActions;

  constructor(state: FleetState, prefix: string, actions: ListenerActions) {
    super();
    this.#state = state;
    this.#prefix = prefix;
    this.#actions = actions;
  }

  override snapshot(items: readonly StoredItem[], asOf: number): void {
    this.#actions.snapshot(items, asOf);
  }

  override changes(changes: readonly ItemChange[], asOf: number): void {
    for (const change of changes) this.#actions.change(change);
    this.#actions.advanced?.(asOf, changes.length > 0);
  }

  override heard(): void {
    this.#state.storeHeard();
  }

  override failed(error: PlatformError, time: number): void {
    this.#state.storeFailed({ error, prefix: this.#prefix, time });
  }
}
