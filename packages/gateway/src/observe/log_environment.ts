/** roarr stays silent unless this is set before it loads. @module */
import process from "node:process";

process.env.ROARR_LOG ??= "true";
