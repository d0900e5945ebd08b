/**
 * The life of one request at its entry. Only `waiting` has a way to
 * `handedOver`, and no state leads back to `waiting`: a request is dispatched
 * at most once whatever order grants, refusals and lost links come in.
 * @module
 */
import { robot } from "./robot.ts";

/** Where a request stands; the last four are final. */
export type RequestState =
  | "waiting"
  | "handedOver"
  | "answering"
  | "answered"
  | "refused"
  | "failed"
  | "abandoned";

/** What can happen to a request. `abandon`: its caller left. */
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

/** One request's state and its legal changes. */
export class RequestLifecycle {
  readonly #service = interpret(machine, () => {});

  get state(): RequestState {
    return this.#service.machine.current as RequestState;
  }

  get final(): boolean {
    return FINAL_STATES.has(this.state);
  }

  /** Applies `event`; false, and no change, where the state does not allow it. */
  apply(event: RequestEvent): boolean {
    const before = this.state;
    this.#service.send(event);
    return this.state !== before;
  }
}
