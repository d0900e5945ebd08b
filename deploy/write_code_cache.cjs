/**
 * Writes the code cache of the bundle in the directory given as the first
 * argument. Must run with the flags of V8 that the gateway runs with, as V8
 * rejects a cache that was written with others.
 */
const { writeFileSync } = require("node:fs");
const { join, resolve } = require("node:path");
const { setFlagsFromString } = require("node:v8");

const [directory] = process.argv.slice(2);
const { compile } = require(resolve(directory, "gateway.cjs"));
// By default V8 compiles a function at its first call, and the cache would lack
// most of them.
setFlagsFromString("--no-lazy");
const script = compile(undefined);
setFlagsFromString("--lazy");
writeFileSync(join(directory, "gateway.cache"), script.createCachedData());
