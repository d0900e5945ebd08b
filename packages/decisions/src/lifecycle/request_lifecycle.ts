/**
 * Lifecycle of one request at its entry. Only `waiting` has a transition to
 * `handedOver`, and no state leads back to `waiting`: a request is dispatched
 * at most once, in whatever order grants, refusals and lost links occur.
 * @module
 */
import { robot } from "./robot.ts";

/** State of a request; the last four are final. */
export type RequestState =
  | "waiting"
  | "handedOver"
  | "answering"
  | "answered"
  | "refused"
  | "failed"
  | "abandoned";

/** Events of a request. `abandon`: its caller disconnected. */
export type RequestEvent =
  | "handOver"
  | "refuse"
  | "begin"
  | "finish"
  | "fail"
  | "abandon";

const { createMachine, interpret, state, transition } = robot;

const machine = createMachine("waiting", {
  waiting: state(
    transition("handOver", "handedOver"),
    transition("refuse", "refused"),
    transition("abandon", "abandoned"),
  ),
  handedOver: state(
    transition("begin", "answering"),
    transition("fail", "failed"),
    transition("abandon", "abandoned"),
  ),
  answering: state(
    transition("finish", "answered"),
    transition("fail", "failed"),
    transition("abandon", "abandoned"),
  ),
  answered: state(),
  refused: state(),
  failed: state(),
  abandoned: state(),
});

const FINAL_STATES: ReadonlySet<RequestState> = new Set<RequestState>([
  "answered",
  "refused",
  "failed",
  "abandoned",
]);

/** The state of one request and its permitted transitions. */
export class RequestLifecycle {
  readonly #service = interpret(machine, () => {});

  get state(): RequestState {
    return this.#service.machine.current as RequestState;
  }

  get final(): boolean {
    return FINAL_STATES.has(this.state);
  }

  /**
   * Applies `event`; false, without a change, if the state does not permit it.
   */
  apply(event: RequestEvent): boolean {
    const before = this.state;
    this.#service.send(event);
    return this.state !== before;
  }
}
