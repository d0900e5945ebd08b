/**
 * Baselines that choose an engine at once and send the request there, where it
 * waits in the engine's own first-come queue.
 * @module
 */
import type { Outcome } from "../model/outcome.ts";
import type { Fleet } from "./fleet.ts";
import { type Caller, Policy } from "./policy.ts";

/** See the module; only the choice differs. */
export abstract class Push extends Policy {
  protected readonly fleet: Fleet;
  readonly #caller: Caller;
  readonly #engineOf = new Map<Outcome, number>();

  constructor(options: { fleet: Fleet; caller: Caller }) {
    super();
    this.fleet = options.fleet;
    this.#caller = options.caller;
  }

  /** One of `candidates`, which are the engines not reported dead. */
  protected abstract choose(candidates: number[], outcome: Outcome): number;

  override arrive(outcome: Outcome): void {
    const index = this.choose(this.#candidates(), outcome);
    this.#engineOf.set(outcome, index);
    const engine = this.fleet.engines[index]!;
    const caller = this.#caller;
    const send = (action: () => void) =>
      this.fleet.send(outcome.request.entry, index, action);
    send(() => {
      if (!this.#engineOf.has(outcome)) return;
      engine.submit(outcome, {
        onFirstToken: () => send(() => caller.firstToken(outcome)),
        onProgress: () => {},
        onFinished: () => send(() => this.#finished(outcome)),
        onCrashed: () => send(() => this.#crashed(outcome)),
      });
    });
  }

  override abandon(outcome: Outcome): void {
    const index = this.#engineOf.get(outcome);
    if (index === undefined) return;
    this.#engineOf.delete(outcome);
    const engine = this.fleet.engines[index]!;
    const { entry } = outcome.request;
    this.fleet.send(entry, index, () => engine.cancel(outcome));
  }

  #finished(outcome: Outcome): void {
    this.#engineOf.delete(outcome);
    this.#caller.finished(outcome);
  }

  #crashed(outcome: Outcome): void {
    this.#engineOf.delete(outcome);
    this.#caller.refused(outcome, "server_crashed");
  }

  #candidates(): number[] {
    const all = this.fleet.engines.map((_, index) => index);
    const alive = all.filter((index) => this.fleet.report(index).alive);
    return alive.length > 0 ? alive : all;
  }
}
