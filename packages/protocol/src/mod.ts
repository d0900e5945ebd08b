/** The processes' own protocol. @module */
export * from "./messages.ts";
