#!/usr/bin/env node
/** `sycamorepulley`, the operators' command line. @module */
import process from "node:process";
import { run } from "./run.ts";

process.exitCode = await run({
  arguments: process.argv.slice(2),
  environment: process.env,
  print: (line) => console.log(line),
  warn: (line) => console.error(line),
});
