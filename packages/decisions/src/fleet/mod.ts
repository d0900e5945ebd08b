/** Entries that work as one group. @module */
export { COUNTED_FOR, grantingEntry, groupParts } from "./entry_group.ts";
export type { GroupParts, GroupView } from "./entry_group.ts";
