/** Runs one case: its record, its time limit and its exit code. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

/** Milliseconds after which a case is given up. */
const TIME_LIMIT = 115_000;
const startedAt = performance.now();
const lines = [];
/** Called at the end, whatever happens. */
const closers = [];

export const isTroubled = process.env.TROUBLE !== "0";

export function record(text) {
  const time = ((performance.now() - startedAt) / 1000).toFixed(2);
  lines.push(`${time.padStart(7)} s  ${text}`);
}

export function atEnd(action) {
  closers.push(action);
}

/** A case that could not run as it describes. */
export class CannotRun extends Error {}

/** Waits until a condition holds. */
export async function until(condition, what, limit = 15_000) {
  const endsAt = performance.now() + limit;
  while (!await condition()) {
    if (performance.now() > endsAt) throw new CannotRun(`never: ${what}`);
    await sleep(50);
  }
}

/** `play` resolves to why the rule was broken, or to `undefined`. */
export async function runCase(folder, play) {
  record(isTroubled ? "with the disruption" : "without the disruption");
  let code = 2;
  const limit = sleep(TIME_LIMIT, "limit", { ref: false });
  try {
    const broken = await Promise.race([play(), limit]);
    if (broken === "limit") record("the time limit of the case passed");
    else {
      code = broken === undefined ? 0 : 1;
      record(broken === undefined ? "the rule held" : `broken: ${broken}`);
    }
  } catch (error) {
    record(`the case could not run: ${error?.stack ?? error}`);
  }
  for (const close of closers) await close();
  writeFileSync(join(folder, "record.txt"), lines.join("\n") + "\n");
  console.log(lines.slice(-6).join("\n"));
  process.exit(code);
}
