/** The named objects, their check and the published set. @module */
export * from "./objects.ts";
