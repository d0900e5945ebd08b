/**
 * Compares the latency of calls through entry and sidecar with that of direct
 * calls to the engine.
 * @module
 */
import { parseMix, runLoad } from "@sycamorepulley/emulator";
import type { LoadSummary } from "@sycamorepulley/emulator";
import { EXAMPLE_TOKEN } from "../fleet/example_objects.ts";
import type { MeasuredPath } from "./measure_fleet.ts";
import { processorTimes } from "./processor_times.ts";

const ROUND_COUNT = 3;
const ROUND_SECONDS = 5;
const WARM_UP_SECONDS = 3;
const PROMPT_TOKENS = 200;
const OUTPUT_TOKENS = 16;

/**
 * Results for one rate. Durations are in milliseconds, each the median of the
 * rounds.
 */
export type LatencyResult = {
  rate: number;
  answered: number;
  notAnswered: number;
  /** Time until the first byte of a streamed response. */
  firstByte: LatencyComparison;
  /** Time until the end of the response. */
  total: LatencyComparison;
  /** Processor time per request in milliseconds. */
  entryTime: number;
  sidecarTime: number;
};

/** Percentiles of direct calls and of calls through entry and sidecar. */
export type LatencyComparison = {
  direct: { p50: number; p99: number };
  through: { p50: number; p99: number };
};

type Round = {
  direct: LoadSummary;
  through: LoadSummary;
  entryTime: number;
  sidecarTime: number;
};

/**
 * Alternates between direct calls and calls through the daemons, so that
 * changes in the machine's load affect both alike.
 */
export async function measureLatency(
  path: MeasuredPath,
  rate: number,
): Promise<LatencyResult> {
  await sendThrough(path, rate, { seconds: WARM_UP_SECONDS, seed: 100 });
  const rounds: Round[] = [];
  for (let round = 0; round < ROUND_COUNT; round++) {
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
    seconds: ROUND_SECONDS,
    seed: round,
  });
  const before = await processorTimes(path);
  const through = await sendThrough(path, rate, {
    seconds: ROUND_SECONDS,
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

/** Duration of one load, and the seed of its arrivals. */
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
      firstMessages: [],
      rareMessage: undefined,
      rareMessageEvery: 1,
      deadline: undefined,
      token: direct ? undefined : EXAMPLE_TOKEN,
      direct,
    },
  });
  if (summary === undefined) {
    throw new Error("no request of the load was sent");
  }
  return summary;
}

function medians(
  rounds: Round[],
  duration: "firstByte" | "total",
): LatencyComparison {
  const mediansOf = (way: "direct" | "through") => ({
    p50: median(rounds.map((round) => round[way][duration].p50)),
    p99: median(rounds.map((round) => round[way][duration].p99)),
  });
  return { direct: mediansOf("direct"), through: mediansOf("through") };
}

function median(values: number[]): number {
  return values.toSorted((one, other) => one - other)[values.length >> 1] ?? 0;
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
