/** The `load` command. @module */
import type { CAC } from "cac";
import * as v from "valibot";
import { formatLoadSummaries } from "../load/format_load_summaries.ts";
import { parseMix } from "../load/mix.ts";
import { runLoad } from "../load/run_load.ts";

const loadCommandSchema = v.object({
  target: v.string("say where to: --target http://127.0.0.1:<port>"),
  rate: v.number(),
  seconds: v.number(),
  mix: v.string(),
  model: v.string(),
  bookingService: v.string(),
  promptTokens: v.number(),
  outputTokens: v.number(),
  deadline: v.optional(v.number()),
  token: v.optional(v.string()),
  direct: v.optional(v.boolean(), false),
  seed: v.number(),
  json: v.optional(v.boolean(), false),
});

/** Sends load to an entry, or to an emulated server itself. */
export function registerLoad(program: CAC): void {
  program.command("load", "send requests to loopback and count the answers")
    .option("--target <url>", "http://127.0.0.1:<port>")
    .option("--rate <count>", "requests a second", { default: 20 })
    .option("--seconds <count>", "how long to send", { default: 10 })
    .option(
      "--mix <parts>",
      "kind/tier=weight,… of chat, stream, booking, " +
        "lookup",
      { default: "chat=1,stream=1" },
    )
    .option("--model <name>", "model of chats", { default: "assistant" })
    .option("--booking-service <name>", "service of bookings", {
      default: "bookings",
    })
    .option("--prompt-tokens <count>", "length of prompts", { default: 200 })
    .option("--output-tokens <count>", "length of answers", { default: 32 })
    .option("--deadline <ms>", "deadline that each request states")
    .option("--token <token>", "bearer token")
    .option("--direct", "the target is an emulated server itself")
    .option("--seed <number>", "seed of the arrivals", { default: 1 })
    .option("--json", "print JSON")
    .example("node dist/main.js load --target http://127.0.0.1:8080 --rate 50")
    .action(load);
}

async function load(options: unknown): Promise<void> {
  const { target, rate, seconds, mix, seed, json, ...shape } = v.parse(
    loadCommandSchema,
    options,
  );
  const summaries = await runLoad({
    target,
    rate,
    seconds,
    seed,
    mix: parseMix(mix),
    requestOptions: { ...shape, deadline: shape.deadline, token: shape.token },
  });
  console.log(
    json ? JSON.stringify(summaries) : formatLoadSummaries(summaries),
  );
}
