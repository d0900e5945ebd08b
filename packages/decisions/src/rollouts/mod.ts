/**
 * Roll-outs of a service's servers to another version: what a version that is
 * not established may get, and when it is.
 * @module
 */
export { EstablishedVersion } from "./established_version.ts";
export { RolloutEvidence } from "./rollout_evidence.ts";
export type { ComparedRun } from "./rollout_evidence.ts";
export { rolloutHandoverSchema } from "./rollout_handover.ts";
export type { RolloutHandover } from "./rollout_handover.ts";
export { RolloutSteps } from "./rollout_steps.ts";
export type { RolloutStep, StepInputs } from "./rollout_steps.ts";
export { ServiceRollout } from "./service_rollout.ts";
export type { VersionPreference } from "./service_rollout.ts";
export { VersionExposure } from "./version_exposure.ts";
export type { ExposureOptions } from "./version_exposure.ts";
export type {
  RolloutBounds,
  RolloutOrder,
  RolloutOutcome,
  RolloutReport,
  RolloutState,
} from "./rollout.ts";
