/**
 * Enables logging: roarr writes nothing unless `ROARR_LOG` is set before it is
 * loaded.
 * @module
 */
import process from "node:process";

process.env.ROARR_LOG ??= "true";
