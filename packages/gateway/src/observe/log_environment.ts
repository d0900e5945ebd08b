/** Enables roarr, which reads this variable when it is loaded. @module */
import process from "node:process";

process.env.ROARR_LOG ??= "true";
