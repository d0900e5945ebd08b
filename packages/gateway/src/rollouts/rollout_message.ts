/** Converts statements on roll-outs to and from messages. @module */
import type { RolloutMessage } from "../peers/messages.ts";
import type { RolloutStatement } from "./known_rollouts.ts";

export function encodeRollout(statement: RolloutStatement): RolloutMessage {
  const { position, version, rejected, ...fields } = statement;
  const { target, duration = 0 } = version ?? {};
  return { ...fields, ...position, target, duration, rejected: [...rejected] };
}

export function decodeRollout(message: RolloutMessage): RolloutStatement {
  const { era, revision, target, duration, ...fields } = message;
  const version = target === undefined ? undefined : { target, duration };
  return { ...fields, position: { era, revision }, version };
}
