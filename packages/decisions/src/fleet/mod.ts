/**
 * Groups of entries, their membership and the exchange of state among them.
 * @module
 */
export {
  groupFractions,
  selectGrantingEntry,
  totalShares,
} from "./entry_group.ts";
export {
  HEARTBEAT_EVERY,
  heartbeatRecipients,
  roundRobinInterval,
  silenceLimit,
  SILENT_AFTER,
  SUSPECTED_AFTER,
} from "./heartbeat_plan.ts";
export {
  MembershipList,
  UNREGISTERED_GRACE_PERIOD,
} from "./membership_list.ts";
export { StatePull } from "./state_pull.ts";
export { WatchTimeouts } from "./watch_timeouts.ts";
export type {
  StatePart,
  StatePosition,
  StateRequest,
  StateStep,
} from "./state_pull.ts";
export type { HeartbeatPeer } from "./heartbeat_plan.ts";
export type { WatchGroup } from "./watch_timeouts.ts";
export type {
  GrantCandidate,
  GroupFractions,
  GroupView,
  ReachableEntry,
} from "./entry_group.ts";
