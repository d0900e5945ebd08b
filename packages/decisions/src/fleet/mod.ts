/** Entries that work as one group. @module */
export { grantingEntry, groupParts, sharesOfFleet } from "./entry_group.ts";
export {
  HEARTBEAT_EVERY,
  heartbeatRecipients,
  roundRobinInterval,
  silenceLimit,
  SILENT_AFTER,
  SUSPECTED_AFTER,
} from "./heartbeat_plan.ts";
export { COUNTED_FOR, EntryRoll } from "./entry_roll.ts";
export { StatePull } from "./state_pull.ts";
export { WatchTurns } from "./watch_turns.ts";
export type { StatePart, StateRequest, StateStep } from "./state_pull.ts";
export type { HeartbeatPeer } from "./heartbeat_plan.ts";
export type { WatchGroup } from "./watch_turns.ts";
export type {
  AbleEntry,
  GroupParts,
  GroupView,
  PresentEntry,
} from "./entry_group.ts";
