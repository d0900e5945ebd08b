/** Enables roarr, which logs only if this is set before it is loaded. @module */
import process from "node:process";

process.env.ROARR_LOG ??= "true";
