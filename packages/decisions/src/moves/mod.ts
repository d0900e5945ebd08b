/**
 * Moves of a service from one version to another: evidence, evaluation, steps
 * and the traffic split.
 * @module
 */
export type { CallCounts, RouteEvidence } from "./evidence.ts";
export { EvidenceCollector, mergeEvidence } from "./evidence_collector.ts";
export type {
  EvidenceCollectorOptions,
  Slowness,
  VersionSide,
} from "./evidence_collector.ts";
export { MoveJudge } from "./move_judge.ts";
export type {
  MaximumInterval,
  MoveJudgeOptions,
  MoveVerdict,
} from "./move_judge.ts";
export {
  moveJudgeStateSchema,
  slowThresholdsSchema,
} from "./move_judge_state.ts";
export type { MoveJudgeState, SlowThresholds } from "./move_judge_state.ts";
export { phaseAfter } from "./move_machine.ts";
export type { MoveEvent } from "./move_machine.ts";
export {
  movePhaseSchema,
  moveRecordSchema,
  takenBackReasonSchema,
} from "./move_record.ts";
export type { MovePhase, MoveRecord, TakenBackReason } from "./move_record.ts";
export {
  COMPLETION_GUARD,
  effectiveOutcome,
  effectiveShare,
  nextStep,
} from "./move_steps.ts";
export type { MoveInputs, MoveOutcome } from "./move_steps.ts";
export { VersionFailureDetector } from "./version_failure_detector.ts";
export { trialRequestsPerEntry, VersionSplit } from "./version_split.ts";
export type { SplitBounds } from "./version_split.ts";
