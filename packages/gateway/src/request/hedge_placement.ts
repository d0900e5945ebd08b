/** Finds another server for a request that already runs. @module */
import type { AttemptTarget } from "./server_attempt.ts";
import type { Grant } from "./server_eligibility.ts";

/** How a request gets a grant and a connection; both may fail. */
export type PlacementSteps = {
  /**
   * Requests a grant of a server that is not in `excluded`; `withdraw` ends the
   * wait with `undefined`.
   */
  requestGrant: (excluded: readonly string[]) => {
    withdraw: () => void;
    result: Promise<Grant | undefined>;
  };
  /** Resolves to `undefined`, without the grant, if the server can't be used. */
  connect: (grant: Grant) => Promise<AttemptTarget | undefined>;
  /** Returns the unused grant and its connection. */
  release: (target: AttemptTarget) => void;
};

/** Options of one search. */
export type PlacementOptions = {
  /** Incarnations of servers. */
  excluded: readonly string[];
  /** Called after the grant, before the connection is opened. */
  onGrant: () => void;
};

/** One search for a server; ends with `undefined` after `cancel`. */
export class HedgePlacement {
  readonly #steps: PlacementSteps;
  readonly #options: PlacementOptions;
  #withdraw: (() => void) | undefined;
  #cancelled = false;

  constructor(steps: PlacementSteps, options: PlacementOptions) {
    this.#steps = steps;
    this.#options = options;
  }

  async run(): Promise<AttemptTarget | undefined> {
    const { excluded, onGrant } = this.#options;
    const { withdraw, result } = this.#steps.requestGrant(excluded);
    this.#withdraw = withdraw;
    const grant = await result;
    this.#withdraw = undefined;
    if (grant === undefined) return undefined;
    if (!this.#cancelled) onGrant();
    const target = await this.#steps.connect(grant);
    if (target === undefined || !this.#cancelled) return target;
    this.#steps.release(target);
    return undefined;
  }

  cancel(): void {
    this.#cancelled = true;
    this.#withdraw?.();
  }
}
