/**
 * Listens to the keys that operators write: the configuration and the
 * evacuations of data centres.
 * @module
 */
import type {
  EvacuationChange,
  StorePosition,
} from "@sycamorepulley/decisions";
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import type { EventLog } from "../observe/event_log.ts";
import type { FleetState } from "./fleet_state.ts";
import { PrefixListener } from "./prefix_follower.ts";
import type { RecordCodec } from "./record_codec.ts";

/** Maximum length of the name of a data centre. */
const MAXIMUM_NAME_LENGTH = 200;

/** Passes what operators write on to the state. */
export class OperatorListener extends PrefixListener {
  readonly #state: FleetState;
  readonly #codec: RecordCodec;
  readonly #log: EventLog;

  constructor(
    options: { state: FleetState; codec: RecordCodec; log: EventLog },
  ) {
    super();
    this.#state = options.state;
    this.#codec = options.codec;
    this.#log = options.log;
  }

  override onSnapshot(items: readonly StoredItem[], asOf: StorePosition): void {
    const { era } = asOf;
    // Evacuations come first: a peer that takes over a configuration relies on
    // the evacuations that were written before it.
    const evacuations = items.map(({ key, revision }) =>
      this.#evacuationOf(key, { era, revision }, true)
    ).filter((change) => change !== undefined);
    this.#state.mergeStoredEvacuations(evacuations, asOf);
    for (const item of items) this.#state.readConfiguration(item, era);
    this.#state.confirmConfiguration(era);
  }

  override onChanges(changes: readonly ItemChange[], era: number): void {
    for (const change of changes) this.#apply(change, era);
    this.#state.confirmConfiguration(era);
  }

  #apply(change: ItemChange, era: number): void {
    const isWritten = change.kind === "written";
    const { key, revision } = isWritten ? change.item : change;
    const evacuation = this.#evacuationOf(key, { era, revision }, isWritten);
    if (evacuation !== undefined) {
      this.#state.applyEvacuations([evacuation], "store");
    } else if (isWritten) this.#state.readConfiguration(change.item, era);
  }

  /** The evacuation that a key stands for; `undefined` for any other key. */
  #evacuationOf(
    key: string,
    position: StorePosition,
    evacuated: boolean,
  ): EvacuationChange | undefined {
    const { evacuationPrefix } = this.#codec;
    if (!key.startsWith(evacuationPrefix)) return undefined;
    const dataCentre = key.slice(evacuationPrefix.length);
    if (dataCentre === "" || dataCentre.length > MAXIMUM_NAME_LENGTH) {
      const { revision } = position;
      const detail = dataCentre === ""
        ? "the name of the data centre is empty"
        : `the name has ${dataCentre.length} characters, ` +
          `${MAXIMUM_NAME_LENGTH} are allowed`;
      this.#log.write({ event: "evacuation_unreadable", revision, detail });
      return undefined;
    }
    return { dataCentre, evacuated, position };
  }
}
