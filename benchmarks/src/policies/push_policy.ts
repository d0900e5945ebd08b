/**
 * Common part of the baselines. They choose an engine as soon as a request
 * arrives and send it there, where it waits in the engine's FIFO queue.
 * @module
 */
import type { Outcome } from "../model/outcome.ts";
import type { Fleet } from "./fleet.ts";
import { type Caller, Policy } from "./policy.ts";

/** Base class of the baselines, which differ only in how they choose. */
export abstract class PushPolicy extends Policy {
  protected readonly fleet: Fleet;
  readonly #caller: Caller;
  readonly #engineByOutcome = new Map<Outcome, number>();

  constructor(options: { fleet: Fleet; caller: Caller }) {
    super();
    this.fleet = options.fleet;
    this.#caller = options.caller;
  }

  /**
   * Returns one of `candidates`: the engines that are alive according to their
   * last report, or all engines if there are none.
   */
  protected abstract choose(candidates: number[], outcome: Outcome): number;

  override submit(outcome: Outcome): void {
    const index = this.choose(this.#listCandidates(), outcome);
    this.#engineByOutcome.set(outcome, index);
    const engine = this.fleet.engines[index]!;
    const caller = this.#caller;
    const send = (action: () => void) =>
      this.fleet.send(outcome.request.entry, index, action);
    send(() => {
      if (!this.#engineByOutcome.has(outcome)) return;
      engine.submit(outcome, {
        onFirstToken: () => send(() => caller.notifyFirstToken(outcome)),
        onLaterToken: () => {},
        onFinished: () => send(() => this.#handleFinished(outcome)),
        onCrashed: () => send(() => this.#handleCrash(outcome)),
      });
    });
  }

  override cancel(outcome: Outcome): void {
    const index = this.#engineByOutcome.get(outcome);
    if (index === undefined) return;
    this.#engineByOutcome.delete(outcome);
    const engine = this.fleet.engines[index]!;
    const { entry } = outcome.request;
    this.fleet.send(entry, index, () => engine.cancel(outcome));
  }

  #handleFinished(outcome: Outcome): void {
    this.#engineByOutcome.delete(outcome);
    this.#caller.notifyFinished(outcome);
  }

  #handleCrash(outcome: Outcome): void {
    this.#engineByOutcome.delete(outcome);
    this.#caller.notifyRefused(outcome, "server_crashed");
  }

  #listCandidates(): number[] {
    const all = this.fleet.engines.map((_, index) => index);
    const alive = all.filter((index) => this.fleet.report(index).alive);
    return alive.length > 0 ? alive : all;
  }
}
