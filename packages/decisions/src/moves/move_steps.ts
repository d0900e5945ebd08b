/**
 * Computes the next step of a move from its record, the evidence and the time.
 * The holder of the move's lease writes the result by compare-and-swap.
 *
 * Guards against versions that only fail later or under load, engines that
 * start late or have less capacity, and an outage of the key-value service
 * around the deadline. Without steps a bad version would receive all traffic;
 * without the rule at the deadline an outage would leave a move half done.
 *
 * The phase `complete` may only be written until a guard time before the
 * deadline. A move whose record is not complete at the deadline counts as taken
 * back at every process that knows it, with or without the key-value service.
 * An outage around the deadline costs a good version this one move at most.
 *
 * The guard time of 20 s consists of 12 s for a record to reach every process,
 * 2 s for the timeout of a call, 5 s for a write that the service applies after
 * the timeout, and 1 s between the clocks of two processes. The shares are
 * those of the trial, a tenth, a quarter and a half. At a half each event
 * carries the most evidence; beyond it the old version gets too few calls for a
 * comparison, so the move completes from there. A step lasts its part of the
 * remaining time, but ten minutes at most, since a fault that appears later
 * than that would appear after the move as well.
 * @module
 */
import type { RouteEvidence } from "./evidence.ts";
import type { MoveVerdict } from "./move_judge.ts";
import { phaseAfter } from "./move_machine.ts";
import type { MoveEvent } from "./move_machine.ts";
import type { MoveRecord, TakenBackReason } from "./move_record.ts";

/**
 * Milliseconds before the deadline from which a move can't complete any more.
 */
export const COMPLETION_GUARD = 20_000;

const RAISED_SHARES = [0.1, 0.25, 0.5] as const;
const STEP_COUNT = 1 + RAISED_SHARES.length;
/** Maximum milliseconds of a step with sufficient evidence. */
const MAXIMUM_STEP_DURATION = 600_000;

/** Ended calls of the new version that make a step's evidence sufficient. */
const CALLS_PER_STEP = 100;

/** Input of {@link nextStep} in addition to the record. */
export type MoveInputs = {
  verdict: MoveVerdict;
  /** Counts of each route since the move began. */
  evidence: readonly RouteEvidence[];
  /** Largest share of the current requests that the new version can carry. */
  capacityShare: number;
};

/** Outcome of a move, or `running`. */
export type MoveOutcome = "running" | "complete" | "takenBack";

/**
 * Returns the outcome that applies at `now`, also for a copy of the record that
 * can't be refreshed.
 */
export function effectiveOutcome(
  record: Pick<MoveRecord, "phase" | "deadline">,
  now: number,
): MoveOutcome {
  if (record.phase === "complete") return "complete";
  if (record.phase === "takenBack" || now >= record.deadline) {
    return "takenBack";
  }
  return "running";
}

/**
 * Returns the share of requests that entries send to the new version at `now`.
 */
export function effectiveShare(record: MoveRecord, now: number): number {
  const outcome = effectiveOutcome(record, now);
  if (outcome === "complete") return 1;
  return outcome === "takenBack" ? 0 : record.share;
}

/** Returns the record to write now, or `undefined` if nothing changes. */
export function nextStep(
  record: MoveRecord,
  inputs: MoveInputs,
  now: number,
): MoveRecord | undefined {
  if (record.phase === "complete" || record.phase === "takenBack") {
    return undefined;
  }
  const reason = reasonToTakeBack(record, inputs, now);
  if (reason !== undefined) {
    return advance(record, inputs, {
      event: "takeBack",
      share: 0,
      now,
      reason,
    });
  }
  if (record.phase === "pending") {
    const event = "start";
    const share = record.trialShare;
    const ready = inputs.capacityShare >= share;
    return ready ? advance(record, inputs, { event, share, now }) : undefined;
  }
  if (!isStepComplete(record, inputs, now)) return undefined;
  const next = record.phase === "trial" ? 0 : record.step + 1;
  const share = RAISED_SHARES[next] ?? 1;
  if (inputs.capacityShare < share) return undefined;
  const event = next < RAISED_SHARES.length ? "raise" : "finish";
  return advance(record, inputs, { event, share, now, step: next });
}

function reasonToTakeBack(
  record: MoveRecord,
  inputs: MoveInputs,
  now: number,
): TakenBackReason | undefined {
  if (inputs.verdict.kind === "bad") return inputs.verdict.reason;
  if (now <= record.deadline - COMPLETION_GUARD) return undefined;
  if (record.phase === "pending" || inputs.capacityShare < nextShare(record)) {
    return "no_room";
  }
  return newVersionCalls(inputs) === 0 ? "no_evidence" : "deadline";
}

function nextShare(record: MoveRecord): number {
  const next = record.phase === "trial" ? 0 : record.step + 1;
  return RAISED_SHARES[next] ?? 1;
}

/**
 * Whether the time of the step has passed and enough calls ended. With little
 * traffic a step may take longer, within the time that is left for the
 * remaining steps.
 */
function isStepComplete(
  record: MoveRecord,
  inputs: MoveInputs,
  now: number,
): boolean {
  const completedSteps = record.phase === "trial" ? 0 : record.step + 1;
  const remaining = record.deadline - COMPLETION_GUARD - record.since;
  const allotted = remaining / (STEP_COUNT - completedSteps);
  const elapsed = now - record.since;
  const ended = newVersionCalls(inputs) - record.endedBefore;
  if (ended >= CALLS_PER_STEP) {
    return elapsed >=
      Math.min(allotted * FULL_EVIDENCE_TIME, MAXIMUM_STEP_DURATION);
  }
  const isLate = elapsed >= allotted * SPARSE_EVIDENCE_TIME;
  return isLate && newVersionCalls(inputs) > 0;
}

/**
 * Fractions of its allotted time after which a step with sufficient, or with
 * little, evidence ends. With 0.9 the last step may end within one period of
 * the driver before the guard time, and then a good version is taken back.
 */
const FULL_EVIDENCE_TIME = 0.5;
const SPARSE_EVIDENCE_TIME = 0.6;

function newVersionCalls(inputs: MoveInputs): number {
  return inputs.evidence.reduce((sum, route) => sum + route.to.ended, 0);
}

function advance(
  record: MoveRecord,
  inputs: MoveInputs,
  options: {
    event: MoveEvent;
    share: number;
    now: number;
    step?: number;
    reason?: TakenBackReason;
  },
): MoveRecord {
  return {
    ...record,
    phase: phaseAfter(record.phase, options.event),
    share: options.share,
    step: options.step ?? 0,
    since: options.now,
    endedBefore: newVersionCalls(inputs),
    reason: options.reason,
    evidence: [...inputs.evidence],
  };
}
