/**
 * The life of a daemon. A second signal to stop finds no transition, so it
 * can't cut a graceful shutdown short.
 * @module
 */
import { robot } from "./robot.ts";

/** Where a process stands. `leaving`: no new work, running work finishes. */
export type ProcessState = "starting" | "ready" | "leaving" | "stopped";

/** What moves a process from one state to the next. */
export type ProcessEvent = "started" | "stop" | "drained";

const { createMachine, interpret, state, transition } = robot;

const machine = createMachine("starting", {
  starting: state(
    transition("started", "ready"),
    transition("stop", "leaving"),
  ),
  ready: state(transition("stop", "leaving")),
  leaving: state(transition("drained", "stopped")),
  stopped: state(),
});

/** One process's state and its legal changes. */
export class ProcessLifecycle {
  readonly #service = interpret(machine, () => {});

  get state(): ProcessState {
    return this.#service.machine.current as ProcessState;
  }

  /** Applies `event`; false, and no change, where the state does not allow it. */
  apply(event: ProcessEvent): boolean {
    const before = this.state;
    this.#service.send(event);
    return this.state !== before;
  }
}
