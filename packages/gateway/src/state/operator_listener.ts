/**
 * Listens to the keys that operators write: the configuration, the evacuations
 * of data centres and the roll-outs of versions.
 * @module
 */
import type {
  EvacuationChange,
  StorePosition,
} from "@sycamorepulley/decisions";
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import type { EventLog } from "../observe/event_log.ts";
import type { FleetState } from "./fleet_state.ts";
import { PrefixListener } from "./prefix_follower.ts";
import type { RolloutChange } from "../rollouts/known_rollouts.ts";
import type { RecordCodec, StoredRollout } from "./record_codec.ts";

/** Maximum length of the name of a data centre, service or version. */
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
    this.#state.mergeStoredRollouts(
      items.map((item) => this.#rolloutIn(item, era))
        .filter((change) => change !== undefined),
      asOf,
    );
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
    const rollout = isWritten
      ? this.#rolloutIn(change.item, era)
      : this.#removedRollout(key, { era, revision });
    if (evacuation !== undefined) {
      this.#state.applyEvacuations([evacuation], "store");
    } else if (rollout !== undefined) {
      this.#state.applyRollouts([rollout], "store");
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

  /** The order in an item; `undefined` if it can't be read, or is none. */
  #rolloutIn(
    { key, value, revision }: StoredItem,
    era: number,
  ): RolloutChange | undefined {
    const { rolloutPrefix } = this.#codec;
    if (!key.startsWith(rolloutPrefix)) return undefined;
    const service = key.slice(rolloutPrefix.length);
    const decoded = this.#codec.decodeRollout(value)
      .andThen((rollout) => checkRollout(rollout, service));
    if (decoded.isOk) {
      const { target, duration } = decoded.value;
      const position = { era, revision };
      return { service, position, version: { target, duration } };
    }
    const detail = decoded.error;
    this.#log.write({ event: "rollout_unreadable", key, revision, detail });
    return undefined;
  }

  #removedRollout(
    key: string,
    position: StorePosition,
  ): RolloutChange | undefined {
    const { rolloutPrefix } = this.#codec;
    if (!key.startsWith(rolloutPrefix)) return undefined;
    const service = key.slice(rolloutPrefix.length);
    return { service, position, version: undefined };
  }
}

/** Checks an order that is stored under the name of `service`. */
function checkRollout(
  rollout: StoredRollout,
  service: string,
): Result<StoredRollout, string> {
  const { target, duration } = rollout;
  if (rollout.service !== service) {
    return Result.err(`the order names the service "${rollout.service}"`);
  }
  if (service === "" || service.length > MAXIMUM_NAME_LENGTH) {
    return Result.err("the service's name is empty or too long");
  }
  if (target === "" || target.length > MAXIMUM_NAME_LENGTH) {
    return Result.err("the target version is empty or too long");
  }
  return duration > 0
    ? Result.ok(rollout)
    : Result.err(`the duration is ${duration} ms`);
}
