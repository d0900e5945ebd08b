/** State machine of the phases of a move. @module */
import { robot } from "../lifecycle/robot.ts";
import type { MovePhase } from "./move_record.ts";

const { createMachine, interpret, state, transition } = robot;

/** Events that cause a transition. */
export type MoveEvent = "start" | "raise" | "finish" | "takeBack";

const states = {
  pending: state(
    transition("start", "trial"),
    transition("takeBack", "takenBack"),
  ),
  trial: state(
    transition("raise", "raising"),
    transition("takeBack", "takenBack"),
  ),
  raising: state(
    transition("raise", "raising"),
    transition("finish", "complete"),
    transition("takeBack", "takenBack"),
  ),
  complete: state(),
  takenBack: state(),
};

/**
 * Returns the phase after the event; unchanged where the event does not apply.
 */
export function phaseAfter(phase: MovePhase, event: MoveEvent): MovePhase {
  const machine = createMachine(phase, states);
  const service = interpret(machine, () => {});
  service.send(event);
  return service.machine.current as MovePhase;
}
