/** The `day` command. @module */
import type { CAC } from "cac";
import * as v from "valibot";
import { playDay, readDay } from "../load/day.ts";
import { formatLoadSummaries } from "../load/format_load_summaries.ts";

const dayCommandSchema = v.object({
  target: v.string("--target http://127.0.0.1:<port> is required"),
  servers: v.optional(v.string(), ""),
  token: v.optional(v.string()),
  direct: v.optional(v.boolean(), false),
  seed: v.number(),
  json: v.optional(v.boolean(), false),
});

/** Plays the loads and faults of a file against an entry. */
export function registerDayCommand(program: CAC): void {
  program.command("day <file>", "play the loads and faults of a file")
    .option("--target <url>", "http://127.0.0.1:<port>")
    .option("--servers <urls>", "emulated backend servers, as url,url,…")
    .option("--token <token>", "bearer token")
    .option("--direct", "the target is an emulated backend server")
    .option("--seed <number>", "seed of the arrivals", { default: 1 })
    .option("--json", "print JSON")
    .example(
      "node dist/main.js day days/crashing_message.jsonc " +
        "--target http://127.0.0.1:8080 --servers http://127.0.0.1:9001",
    )
    .action(playFile);
}

async function playFile(file: string, options: unknown): Promise<void> {
  const { target, servers, token, direct, seed, json } = v.parse(
    dayCommandSchema,
    options,
  );
  const results = await playDay(await readDay(file), {
    target,
    servers: servers.split(",").filter((url) => url !== ""),
    token,
    direct,
    seed,
  });
  if (json) {
    console.log(JSON.stringify(results));
    return;
  }
  for (const { load, summaries } of results) {
    console.log(`${load}\n${formatLoadSummaries(summaries)}`);
  }
}
