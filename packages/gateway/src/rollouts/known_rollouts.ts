/**
 * The roll-outs that this entry knows: the newest order of each service, and
 * how far it has come.
 *
 * Orders arrive from the store and from peers, and an older one may arrive
 * after a newer one, so each has the position at which it was written. A store
 * that was restored from a copy without an order doesn't take it back, and one
 * that holds an order which was replaced doesn't give it again.
 *
 * The outcome in the store is final, since the platform acts on it. Until it is
 * there, the worse one of two conclusions counts.
 * @module
 */
import { isLater } from "@sycamorepulley/decisions";
import type {
  RolloutOutcome,
  RolloutState,
  StorePosition,
} from "@sycamorepulley/decisions";

/** Maximum number of services; one without an order is evicted. */
const MAXIMUM_SERVICES = 256;
/** Maximum number of replaced orders that are remembered for each service. */
const MAXIMUM_REPLACED = 8;
/** The same for the versions that were rolled back. */
const MAXIMUM_REJECTED = 8;

/**
 * `pending`: the store may hold the outcome of an earlier order of the same
 * target, which is not known yet. `completing`: no other version gets requests
 * any more, and the success is about to be stored.
 */
export type RolloutProgress = "pending" | "completing" | RolloutOutcome;

/** Conclusions in the order in which they replace each other. */
const PROGRESS_ORDER: readonly RolloutProgress[] = [
  "pending",
  "running",
  "completing",
  "rolled_back",
  "succeeded",
];

/** Target version, and milliseconds until the time limit. */
export type OrderedVersion = { target: string; duration: number };

/** An order as written to the store; without a version it was removed. */
export type RolloutChange = {
  service: string;
  position: StorePosition;
  version: OrderedVersion | undefined;
};

/** How far a roll-out has come. */
export type Conclusion = {
  progress: RolloutProgress;
  /** Era in which the store is known to hold it; absent if it may not. */
  storedEra?: number | undefined;
};

/** A roll-out as passed on to peers; `age` in milliseconds since the order. */
export type RolloutStatement = RolloutChange & Conclusion & {
  age: number;
  /** Versions that were rolled back, and that no later order has named. */
  rejected: readonly string[];
};

/** A roll-out with an order; times are of this entry's clock. */
export type KnownRollout =
  & { service: string; position: StorePosition }
  & OrderedVersion
  & Conclusion
  & { orderedAt: number; concludedAt: number };

type Entry = {
  change: RolloutChange;
  /** Position at which the order was read first; identifies it. */
  firstPosition: StorePosition;
  conclusion: Conclusion;
  orderedAt: number;
  concludedAt: number;
  /** Earlier orders and removals, the oldest first. */
  replaced: RolloutChange[];
  rejected: readonly string[];
};

/** The newest order of each service. */
export class KnownRollouts {
  readonly #entries = new Map<string, Entry>();

  /** All roll-outs that have an order. */
  active(): KnownRollout[] {
    return [...this.#entries.keys()].map((service) => this.find(service))
      .filter((rollout) => rollout !== undefined);
  }

  find(service: string): KnownRollout | undefined {
    const entry = this.#entries.get(service);
    const version = entry?.change.version;
    if (entry === undefined || version === undefined) return undefined;
    const { change: { position }, conclusion, orderedAt, concludedAt } = entry;
    return {
      service,
      position,
      ...version,
      ...conclusion,
      orderedAt,
      concludedAt,
    };
  }

  /** What grants depend on, by service. */
  states(): Map<string, RolloutState> {
    const states = new Map<string, RolloutState>();
    for (const [service, { firstPosition }] of this.#entries) {
      const rollout = this.find(service);
      if (rollout === undefined) continue;
      states.set(service, stateOf(rollout, firstPosition));
    }
    return states;
  }

  /** Whether the version was rolled back, and no later order has named it. */
  isRejected(service: string, version: string): boolean {
    return this.#entries.get(service)?.rejected.includes(version) ?? false;
  }

  /** All that is known, also of removed orders, for peers. */
  statements(now: number): RolloutStatement[] {
    return [...this.#entries.values()]
      .map(({ change, conclusion, orderedAt, rejected }) => ({
        ...change,
        ...conclusion,
        rejected,
        age: Math.max(0, Math.round(now - orderedAt)),
      }));
  }

  /**
   * Applies an order that was given at `orderedAt`, or its removal, unless a
   * newer one is known. Returns true if the order differs from the one before.
   */
  apply(change: RolloutChange, orderedAt: number): boolean {
    const { service, position } = change;
    const known = this.#entries.get(service);
    if (known === undefined) {
      this.#entries.set(service, newEntry(change, orderedAt));
      this.#evict();
      return change.version !== undefined;
    }
    if (!isLater(position, known.change.position)) return false;
    if (isReplaced(change, known)) return false;
    if (isSameOrder(change, known.change)) {
      known.change = change;
      return false;
    }
    const entry = newEntry(change, orderedAt);
    entry.replaced = [...known.replaced, known.change].slice(-MAXIMUM_REPLACED);
    const target = change.version?.target;
    entry.rejected = known.rejected.filter((version) => version !== target);
    if (target !== undefined && target === known.change.version?.target) {
      entry.conclusion = known.conclusion;
      entry.rejected = known.rejected;
    }
    this.#entries.set(service, entry);
    return true;
  }

  /**
   * Merges a complete read of the store as of `asOf`. Returns the changes that
   * took effect.
   */
  mergeStoreRead(
    stored: readonly RolloutChange[],
    asOf: StorePosition,
    now: number,
  ): RolloutChange[] {
    const found = new Set(stored.map(({ service }) => service));
    const removed = this.active()
      .filter(({ service, position }) =>
        !found.has(service) && position.era === asOf.era
      )
      .map(({ service }) => ({ service, position: asOf, version: undefined }));
    return [...stored, ...removed].filter((change) => this.apply(change, now));
  }

  /** Merges a peer's statement. Returns true if that changed anything. */
  merge(statement: RolloutStatement, now: number): boolean {
    const { age, progress, storedEra, rejected, ...change } = statement;
    const orderedAt = now - age;
    const isNewOrder = this.apply(change, orderedAt);
    const known = this.#entries.get(change.service);
    if (known === undefined || !isSameOrder(change, known.change)) {
      return isNewOrder;
    }
    known.orderedAt = Math.min(known.orderedAt, orderedAt);
    const target = change.version?.target;
    known.rejected = withVersions(
      known.rejected,
      rejected.filter((version) => version !== target),
    );
    const isConcluded = target !== undefined &&
      this.conclude(change.service, target, { progress, storedEra }, now);
    return isConcluded || isNewOrder;
  }

  /**
   * Records a conclusion on the target that is ordered now. Returns true if the
   * progress differs from the one before.
   */
  conclude(
    service: string,
    target: string,
    conclusion: Conclusion,
    now: number,
  ): boolean {
    const entry = this.#entries.get(service);
    if (entry === undefined || entry.change.version?.target !== target) {
      return false;
    }
    const { conclusion: known } = entry;
    if (conclusion.progress === known.progress) {
      entry.conclusion = withLaterEra(known, conclusion);
      return false;
    }
    if (!replaces(conclusion, known)) return false;
    entry.conclusion = conclusion;
    entry.concludedAt = now;
    const others = entry.rejected.filter((version) => version !== target);
    entry.rejected = conclusion.progress === "rolled_back"
      ? withVersions(others, [target])
      : others;
    return true;
  }

  #evict(): void {
    if (this.#entries.size <= MAXIMUM_SERVICES) return;
    for (const [service, { change }] of this.#entries) {
      if (change.version !== undefined) continue;
      this.#entries.delete(service);
      return;
    }
  }
}

/** Whether the outcome ends the roll-out of its target. */
export function isFinal(
  progress: RolloutProgress,
): progress is "succeeded" | "rolled_back" {
  return progress === "succeeded" || progress === "rolled_back";
}

function newEntry(change: RolloutChange, orderedAt: number): Entry {
  return {
    change,
    firstPosition: change.position,
    conclusion: { progress: "pending" },
    orderedAt,
    concludedAt: orderedAt,
    replaced: [],
    rejected: [],
  };
}

/** Adds versions at the end, and drops the first ones beyond the maximum. */
function withVersions(
  known: readonly string[],
  added: readonly string[],
): readonly string[] {
  const news = added.filter((version) => !known.includes(version));
  return news.length === 0
    ? known
    : [...known, ...news].slice(-MAXIMUM_REJECTED);
}

function stateOf(
  { service, target, duration, orderedAt, progress }: KnownRollout,
  position: StorePosition,
): RolloutState {
  return {
    order: { service, target, duration, position },
    orderedAt,
    outcome: outcomeOf(progress),
  };
}

function outcomeOf(progress: RolloutProgress): RolloutOutcome {
  if (progress === "pending") return "running";
  return progress === "completing" ? "succeeded" : progress;
}

/** A copy of the same write, which a restored store states in a later era. */
function isSameOrder(one: RolloutChange, other: RolloutChange): boolean {
  return one.position.revision === other.position.revision &&
    one.version?.target === other.version?.target;
}

/** Whether a restored store holds an order that was replaced. */
function isReplaced(change: RolloutChange, known: Entry): boolean {
  return change.position.era > known.change.position.era &&
    known.replaced.some((replaced) => isSameOrder(change, replaced));
}

/** A stored outcome replaces any conclusion, except for one stored later. */
function replaces(conclusion: Conclusion, known: Conclusion): boolean {
  const isStored = isStoredOutcome(conclusion);
  if (isStoredOutcome(known)) {
    return isStored && conclusion.storedEra! > known.storedEra!;
  }
  return isStored ||
    PROGRESS_ORDER.indexOf(conclusion.progress) >
      PROGRESS_ORDER.indexOf(known.progress);
}

function isStoredOutcome({ progress, storedEra }: Conclusion): boolean {
  return isFinal(progress) && storedEra !== undefined;
}

function withLaterEra(known: Conclusion, other: Conclusion): Conclusion {
  const eras = [known.storedEra, other.storedEra]
    .filter((era) => era !== undefined);
  return eras.length === 0 ? known : { ...known, storedEra: Math.max(...eras) };
}
