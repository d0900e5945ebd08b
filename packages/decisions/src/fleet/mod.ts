/** Entries that work as one group. @module */
export { COUNTED_FOR, grantingEntry, groupParts } from "./entry_group.ts";
export { StatePull } from "./state_pull.ts";
export { WatchTurns } from "./watch_turns.ts";
export type { StatePart, StateRequest, StateStep } from "./state_pull.ts";
export type { WatchGroup } from "./watch_turns.ts";
export type { AbleEntry, GroupParts, GroupView } from "./entry_group.ts";
