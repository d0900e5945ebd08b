/**
 * The next step of a move, worked out from its record, the evidence and the
 * time: whoever holds the move's lease computes it and writes it by
 * compare-and-swap.
 *
 * Answers versions that are bad later or under load only, engines that come
 * late or have less room, and an outage of the key-value service over the
 * deadline. Without steps a bad version takes all traffic; without the rule at
 * the deadline an outage leaves a move half done.
 *
 * How a move ends: `complete` may only be written until a guard time before the
 * deadline. A record that is not complete at the deadline is taken back, by
 * rule, at every process that knows it, with or without the key-value service.
 * What a good version loses by an outage over the deadline is this one move.
 *
 * Figures: the guard is 20 s: 12 s for a record to reach every process, 2 s
 * for a call's timeout, 5 s for a write that the service applies after the
 * timeout, and 1 s between two processes' clocks. Trial, a tenth, a quarter and a half:
 * at a half each event weighs most, and beyond it the old version gives too
 * few calls to compare with, so the move completes from there. A step lasts its
 * share of the time left, ten minutes at most, since badness that comes later
 * than that would come after the move as well.
 * @module
 */
import type { RouteEvidence } from "./evidence.ts";
import type { MoveVerdict } from "./move_judge.ts";
import { phaseAfter } from "./move_machine.ts";
import type { MoveEvent } from "./move_machine.ts";
import type { MoveRecord, TakenBackReason } from "./move_record.ts";

/** Milliseconds before the deadline after which a move cannot complete. */
export const COMPLETION_GUARD = 20_000;

const RAISED_SHARES = [0.1, 0.25, 0.5] as const;
const STEPS_IN_ALL = 1 + RAISED_SHARES.length;
const LONGEST_STEP = 600_000;

/** Ended calls on the new version that let a step end at its time. */
const CALLS_PER_STEP = 100;

/** What the driver knows beside the record. */
export type MoveInputs = {
  verdict: MoveVerdict;
  /** Per route since the move began. */
  evidence: readonly RouteEvidence[];
  /** Largest share of the present requests that the new version can carry. */
  room: number;
};

/** How a move stands for one process. */
export type MoveOutcome = "running" | "complete" | "takenBack";

/** The end that holds at `now`, also for a copy that cannot be renewed. */
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

/** The share that entries apply at `now`. */
export function effectiveShare(record: MoveRecord, now: number): number {
  const end = effectiveOutcome(record, now);
  if (end === "complete") return 1;
  return end === "takenBack" ? 0 : record.share;
}

/** The record to write now; undefined when the present one stands. */
export function nextStep(
  record: MoveRecord,
  facts: MoveInputs,
  now: number,
): MoveRecord | undefined {
  if (record.phase === "complete" || record.phase === "takenBack") {
    return undefined;
  }
  const reason = reasonToTakeBack(record, facts, now);
  if (reason !== undefined) {
    return advance(record, facts, { event: "takeBack", share: 0, now, reason });
  }
  if (record.phase === "pending") {
    const event = "start";
    const share = record.trialShare;
    const ready = facts.room >= share;
    return ready ? advance(record, facts, { event, share, now }) : undefined;
  }
  if (!stepIsOver(record, facts, now)) return undefined;
  const next = record.phase === "trial" ? 0 : record.step + 1;
  const share = RAISED_SHARES[next] ?? 1;
  if (facts.room < share) return undefined;
  const event = next < RAISED_SHARES.length ? "raise" : "finish";
  return advance(record, facts, { event, share, now, step: next });
}

function reasonToTakeBack(
  record: MoveRecord,
  facts: MoveInputs,
  now: number,
): TakenBackReason | undefined {
  if (facts.verdict.kind === "bad") return facts.verdict.reason;
  if (now <= record.deadline - COMPLETION_GUARD) return undefined;
  if (record.phase === "pending" || facts.room < nextShare(record)) {
    return "no_room";
  }
  return endedOnNew(facts) === 0 ? "no_evidence" : "deadline";
}

function nextShare(record: MoveRecord): number {
  const next = record.phase === "trial" ? 0 : record.step + 1;
  return RAISED_SHARES[next] ?? 1;
}

/**
 * A step is over when its time has passed and enough calls ended. With little
 * traffic it lasts longer, as far as the steps that are left allow.
 */
function stepIsOver(
  record: MoveRecord,
  facts: MoveInputs,
  now: number,
): boolean {
  const done = record.phase === "trial" ? 0 : record.step + 1;
  const left = record.deadline - COMPLETION_GUARD - record.since;
  const allotted = left / (STEPS_IN_ALL - done);
  const elapsed = now - record.since;
  const ended = endedOnNew(facts) - record.endedBefore;
  if (ended >= CALLS_PER_STEP) {
    return elapsed >= Math.min(allotted * FULL_EVIDENCE_TIME, LONGEST_STEP);
  }
  const late = elapsed >= allotted * SPARSE_EVIDENCE_TIME;
  return late && endedOnNew(facts) > 0;
}

/**
 * Parts of the time that a step may take. With 0.9 the last one ended within the
 * driver's period of the guard, and good versions were taken back by chance.
 */
const FULL_EVIDENCE_TIME = 0.5;
const SPARSE_EVIDENCE_TIME = 0.6;

function endedOnNew(facts: MoveInputs): number {
  return facts.evidence.reduce((sum, route) => sum + route.to.ended, 0);
}

function advance(
  record: MoveRecord,
  facts: MoveInputs,
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
    endedBefore: endedOnNew(facts),
    reason: options.reason,
    evidence: [...facts.evidence],
  };
}
