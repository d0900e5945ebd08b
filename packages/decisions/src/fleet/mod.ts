/** Entries that work as one group. @module */
export { COUNTED_FOR, grantingEntry, groupParts } from "./entry_group.ts";
export { WatchTurns } from "./watch_turns.ts";
export type { WatchGroup } from "./watch_turns.ts";
export type { AbleEntry, GroupParts, GroupView } from "./entry_group.ts";
