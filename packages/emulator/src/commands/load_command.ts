/** The `load` command. @module */
import type { CAC } from "cac";
import * as v from "valibot";
import { formatLoadSummaries } from "../load/format_load_summaries.ts";
import { parseMix } from "../load/mix.ts";
import { runLoad } from "../load/run_load.ts";

const loadCommandSchema = v.object({
  target: v.string("--target http://127.0.0.1:<port> is required"),
  rate: v.number(),
  seconds: v.number(),
  mix: v.string(),
  model: v.string(),
  bookingService: v.string(),
  promptTokens: v.number(),
  outputTokens: v.number(),
  messages: v.optional(v.string()),
  rareMessage: v.optional(v.string()),
  rareMessageEvery: v.pipe(v.number(), v.integer(), v.minValue(1)),
  deadline: v.optional(v.number()),
  token: v.optional(v.string()),
  direct: v.optional(v.boolean(), false),
  seed: v.number(),
  json: v.optional(v.boolean(), false),
});

/** Sends load to an entry, or directly to an emulated backend server. */
export function registerLoadCommand(program: CAC): void {
  program.command(
    "load",
    "send requests to loopback and summarise the responses",
  )
    .option("--target <url>", "http://127.0.0.1:<port>")
    .option("--rate <count>", "requests per second", { default: 20 })
    .option("--seconds <count>", "how long to send", { default: 10 })
    .option(
      "--mix <parts>",
      "kind/tier=weight,… of chat, stream, booking, " +
        "lookup",
      { default: "chat=1,stream=1" },
    )
    .option("--model <name>", "model of chat requests", {
      default: "assistant",
    })
    .option("--booking-service <name>", "service of booking requests", {
      default: "bookings",
    })
    .option("--prompt-tokens <count>", "length of prompts", { default: 200 })
    .option("--output-tokens <count>", "length of responses", { default: 32 })
    .option("--messages <texts>", "first messages of chats, as text,text,…")
    .option("--rare-message <text>", "a further message of some chats")
    .option("--rare-message-every <count>", "it is in each of so many chats", {
      default: 10,
    })
    .option("--deadline <ms>", "deadline of each request")
    .option("--token <token>", "bearer token")
    .option("--direct", "the target is an emulated backend server")
    .option("--seed <number>", "seed of the arrivals", { default: 1 })
    .option("--json", "print JSON")
    .example("node dist/main.js load --target http://127.0.0.1:8080 --rate 50")
    .action(load);
}

async function load(options: unknown): Promise<void> {
  const parsed = v.parse(loadCommandSchema, options);
  const { target, rate, seconds, mix, seed, json, messages } = parsed;
  const summaries = await runLoad({
    target,
    rate,
    seconds,
    seed,
    mix: parseMix(mix),
    requestOptions: {
      ...parsed,
      firstMessages: messages?.split(",") ?? [],
      rareMessage: parsed.rareMessage,
      deadline: parsed.deadline,
      token: parsed.token,
    },
  });
  console.log(
    json ? JSON.stringify(summaries) : formatLoadSummaries(summaries),
  );
}
