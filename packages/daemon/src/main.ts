#!/usr/bin/env node
/** `sycamorepulleyd`: runs one entry or sidecar process. @module */
import process from "node:process";
import { cac } from "cac";
import { createLog } from "./common/log.ts";
import { describeProblem, readSettings } from "./common/read_settings.ts";
import type { RunningDaemon } from "./common/running_daemon.ts";
import type { Settings } from "./common/settings.ts";
import { startEntry } from "./entry/start_entry.ts";
import { startSidecar } from "./sidecar/start_sidecar.ts";

const VERSION = "0.1.0";
const EXIT_CODE_INVALID_SETTINGS = 2;
const EXIT_CODE_START_FAILED = 1;

function start(settings: Settings): Promise<RunningDaemon> {
  return settings.role === "entry"
    ? startEntry(settings)
    : startSidecar(settings);
}

async function run(options: { settings?: string }): Promise<void> {
  if (typeof options.settings !== "string") {
    console.error("sycamorepulleyd: pass --settings FILE; see --help");
    process.exit(EXIT_CODE_INVALID_SETTINGS);
  }
  const settings = readSettings(options.settings);
  if (settings.isErr) {
    for (const problem of settings.error) {
      console.error(describeProblem(problem));
    }
    process.exit(EXIT_CODE_INVALID_SETTINGS);
  }
  await runDaemon(settings.value);
}

async function runDaemon(settings: Settings): Promise<void> {
  const log = createLog(settings);
  const daemon = await start(settings);
  log.info("ready", {
    httpPort: daemon.ports.http ?? 0,
    statusPort: daemon.ports.status,
    protocolPort: daemon.ports.protocol,
  });
  let stopping = false;
  const stop = () => {
    // A second signal must not interrupt the graceful shutdown of the first.
    if (stopping) return;
    stopping = true;
    void daemon.stop().then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

const program = cac("sycamorepulleyd");
program
  .command("", "Run one process of the system")
  .option("--settings <file>", "Settings file, JSON with comments")
  .example("sycamorepulleyd --settings /etc/sycamorepulley/entry.jsonc")
  .action((options) =>
    run(options).catch((error: unknown) => {
      console.error(`sycamorepulleyd: can't start: ${String(error)}`);
      process.exit(EXIT_CODE_START_FAILED);
    })
  );
program.help();
program.version(VERSION);
program.parse();
