/** Latency through entry and sidecar against the engine called directly. @module */
import { parseMix, runLoad } from "@sycamorepulley/emulator";
import type { LoadSummary } from "@sycamorepulley/emulator";
import { EXAMPLE_TOKEN } from "../fleet/example_objects.ts";
import type { MeasuredPath } from "./measure_fleet.ts";
import { processorTimes } from "./processor_times.ts";

const ROUNDS = 3;
const SECONDS = 5;
const WARM_UP_SECONDS = 3;
const PROMPT_TOKENS = 200;
const OUTPUT_TOKENS = 16;

/** Milliseconds, each the median of the rounds. */
export type LatencyResult = {
  rate: number;
  answered: number;
  notAnswered: number;
  /** First byte of streams and whole plain answers, direct and through. */
  firstByte: Pair;
  total: Pair;
  /** Milliseconds of processor time a request. */
  entryTime: number;
  sidecarTime: number;
};

/** Percentiles of both ways. */
export type Pair = {
  direct: { p50: number; p99: number };
  through: { p50: number; p99: number };
};

type Round = {
  direct: LoadSummary;
  through: LoadSummary;
  entryTime: number;
  sidecarTime: number;
};

/** Alternates between both ways, so that the machine's moods fall on both. */
export async function measureLatency(
  path: MeasuredPath,
  rate: number,
): Promise<LatencyResult> {
  await sendThrough(path, rate, { seconds: WARM_UP_SECONDS, seed: 100 });
  const rounds: Round[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    rounds.push(await measureRound(path, rate, round));
  }
  return {
    rate,
    answered: sum(rounds.map(({ through }) => through.answered)),
    notAnswered: sum(
      rounds.map(({ through }) => through.sent - through.answered),
    ),
    firstByte: medians(rounds, "firstByte"),
    total: medians(rounds, "total"),
    entryTime: median(rounds.map(({ entryTime }) => entryTime)),
    sidecarTime: median(rounds.map(({ sidecarTime }) => sidecarTime)),
  };
}

async function measureRound(
  path: MeasuredPath,
  rate: number,
  round: number,
): Promise<Round> {
  const direct = await send(path.engine.url, true, rate, {
    seconds: SECONDS,
    seed: round,
  });
  const before = await processorTimes(path);
  const through = await sendThrough(path, rate, {
    seconds: SECONDS,
    seed: round,
  });
  const after = await processorTimes(path);
  return {
    direct,
    through,
    entryTime: (after.entry - before.entry) / through.sent,
    sidecarTime: (after.sidecar - before.sidecar) / through.sent,
  };
}

type Period = { seconds: number; seed: number };

function sendThrough(
  path: MeasuredPath,
  rate: number,
  period: Period,
): Promise<LoadSummary> {
  return send(path.entry.url, false, rate, period);
}

async function send(
  target: string,
  direct: boolean,
  rate: number,
  { seconds, seed }: Period,
): Promise<LoadSummary> {
  const [summary] = await runLoad({
    target,
    rate,
    seconds,
    seed,
    mix: parseMix("stream=1"),
    requestOptions: {
      model: "assistant",
      bookingService: "bookings",
      promptTokens: PROMPT_TOKENS,
      outputTokens: OUTPUT_TOKENS,
      deadline: undefined,
      token: direct ? undefined : EXAMPLE_TOKEN,
      direct,
    },
  });
  if (summary === undefined) {
    throw new Error("the load sent nothing");
  }
  return summary;
}

function medians(rounds: Round[], what: "firstByte" | "total"): Pair {
  const of = (way: "direct" | "through") => ({
    p50: median(rounds.map((round) => round[way][what].p50)),
    p99: median(rounds.map((round) => round[way][what].p99)),
  });
  return { direct: of("direct"), through: of("through") };
}

function median(values: number[]): number {
  return values.toSorted((one, other) => one - other)[values.length >> 1] ?? 0;
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
