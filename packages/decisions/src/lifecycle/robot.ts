/**
 * Loads `robot3` as CommonJS. The package ships its ES module under a CommonJS
 * package description, which loaders reject; its CommonJS build works
 * everywhere.
 * @module
 */
import { createRequire } from "node:module";

/** The state machine library `robot3`. */
export const robot = createRequire(import.meta.url)(
  "robot3",
) as typeof import("robot3");
