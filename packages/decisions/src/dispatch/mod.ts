/** Decides which backend server a request is sent to, and when. @module */
export type { CrashEvidence, DetectedCrash } from "./crash_detection.ts";
export type {
  GrantDecision,
  GrantRefusalReason,
  GrantRequest,
  RefusalInputs,
  RequestStanding,
  RunOutcome,
} from "./grant_request.ts";
export { fingerprintsOf, isInterrupted, mayRunIn } from "./grant_request.ts";
export { GroupScheduler } from "./group_scheduler.ts";
export type {
  AppointmentReport,
  BalanceReport,
  ServiceExclusions,
  ServiceLoad,
  SizeClassReport,
} from "./group_scheduler.ts";
export { OrganisationCounts } from "./organisation_counts.ts";
export type {
  DecisionCause,
  OrganisationCount,
} from "./organisation_counts.ts";
export type { StreamTiming } from "./pooled_server.ts";
export type { AdaptiveMode, SchedulingOptions } from "./scheduling_options.ts";
export { ServiceScheduler } from "./service_scheduler.ts";
