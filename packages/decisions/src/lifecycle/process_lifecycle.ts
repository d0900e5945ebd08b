/**
 * Lifecycle of a process. A second stop signal has no transition, so it can't
 * interrupt a graceful shutdown.
 * @module
 */
import { robot } from "./robot.ts";

/**
 * State of a process. In `leaving` it accepts no new requests and finishes the
 * running ones.
 */
export type ProcessState = "starting" | "ready" | "leaving" | "stopped";

/** Events that cause a transition. */
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

/** The state of one process and its permitted transitions. */
export class ProcessLifecycle {
  readonly #service = interpret(machine, () => {});

  get state(): ProcessState {
    return this.#service.machine.current as ProcessState;
  }

  /**
   * Applies `event`; false, without a change, if the state does not permit it.
   */
  apply(event: ProcessEvent): boolean {
    const before = this.state;
    this.#service.send(event);
    return this.state !== before;
  }
}
