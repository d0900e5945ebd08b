/**
 * Days: loads and faults at set times, read from a file of JSON with comments.
 * @module
 */
import { readFile } from "node:fs/promises";
import { setTimeout } from "node:timers/promises";
import { parse, printParseErrorCode } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import { request } from "undici";
import * as v from "valibot";
import { faultsSchema } from "../faults/faults.ts";
import { parseLoadTarget } from "./load_target.ts";
import type { LoadSummary } from "./load_results.ts";
import { parseMix } from "./mix.ts";
import { runLoad } from "./run_load.ts";

const seconds = v.pipe(v.number(), v.minValue(0));

const dayLoadSchema = v.strictObject({
  name: v.string(),
  /** Seconds from the start of the day. */
  from: v.optional(seconds, 0),
  seconds,
  /** Requests per second. */
  rate: v.number(),
  mix: v.optional(v.string(), "chat=1"),
  model: v.optional(v.string(), "assistant"),
  bookingService: v.optional(v.string(), "bookings"),
  promptTokens: v.optional(v.number(), 200),
  outputTokens: v.optional(v.number(), 32),
  /** Texts of the messages with which each chat begins. */
  messages: v.optional(v.array(v.string()), []),
  /** Milliseconds. */
  deadline: v.optional(v.number()),
});

const daySchema = v.strictObject({
  name: v.string(),
  /** Faults of all backend servers; each replaces the ones before. */
  faults: v.optional(
    v.array(v.strictObject({ at: seconds, set: faultsSchema })),
    [],
  ),
  loads: v.array(dayLoadSchema),
});

/** Loads and faults of one day. */
export type Day = v.InferOutput<typeof daySchema>;
type DayLoad = Day["loads"][number];

/** Where a day is played. */
export type DayTarget = {
  /** URL of the entry, or of a backend server, with a loopback address. */
  target: string;
  /** URLs of the emulated backend servers that get the faults. */
  servers: readonly string[];
  token: string | undefined;
  /** The target is a backend server. */
  direct: boolean;
  seed: number;
};

/** The responses to one load of a day. */
export type DayLoadResult = { load: string; summaries: LoadSummary[] };

/** Reads a day; throws if the file is no valid day. */
export async function readDay(path: string): Promise<Day> {
  const errors: ParseError[] = [];
  const content = parse(await readFile(path, "utf8"), errors, {
    allowTrailingComma: true,
  });
  const [error] = errors;
  if (error !== undefined) {
    const code = printParseErrorCode(error.error);
    throw new Error(`${path}: ${code} at offset ${error.offset}`);
  }
  return v.parse(daySchema, content);
}

/** Plays a day and waits until every request has ended. */
export async function playDay(
  day: Day,
  target: DayTarget,
): Promise<DayLoadResult[]> {
  const faults = Promise.all(
    day.faults.map(async ({ at, set }) => {
      await setTimeout(at * 1000);
      await Promise.all(target.servers.map((url) => setFaults(url, set)));
    }),
  );
  const results = await Promise.all(
    day.loads.map((load, index) => playLoad(load, target, index)),
  );
  await faults;
  return results;
}

async function playLoad(
  load: DayLoad,
  { target, token, direct, seed }: DayTarget,
  index: number,
): Promise<DayLoadResult> {
  await setTimeout(load.from * 1000);
  const summaries = await runLoad({
    target,
    rate: load.rate,
    seconds: load.seconds,
    seed: seed + index,
    mix: parseMix(load.mix),
    requestOptions: {
      model: load.model,
      bookingService: load.bookingService,
      promptTokens: load.promptTokens,
      outputTokens: load.outputTokens,
      firstMessages: load.messages,
      rareMessage: undefined,
      rareMessageEvery: 1,
      deadline: load.deadline,
      token,
      direct,
    },
  });
  return { load: load.name, summaries };
}

/** Sets the faults of a server; one that has crashed is left out. */
async function setFaults(url: string, faults: object): Promise<void> {
  const target = parseLoadTarget(url);
  try {
    await request(`${target}/faults`, {
      method: "PUT",
      body: JSON.stringify(faults),
    });
  } catch (error) {
    console.error(`faults of ${target} not set: ${String(error)}`);
  }
}
