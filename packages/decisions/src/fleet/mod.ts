/** Entries that work as one group. @module */
export { grantingEntry, groupPart } from "./entry_group.ts";
export type { GroupView } from "./entry_group.ts";
