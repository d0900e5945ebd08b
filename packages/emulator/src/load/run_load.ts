/**
 * Open-loop load: requests are sent at their arrival times, without waiting for
 * earlier responses.
 * @module
 */
import { setTimeout } from "node:timers/promises";
import {
  connectorWithResetErrors,
  ResetCheck,
} from "@sycamorepulley/receiving";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Agent } from "undici";
import { createLoadRequest } from "./load_request.ts";
import type { LoadRequestOptions } from "./load_request.ts";
import { LoadResults } from "./load_results.ts";
import type { LoadSummary } from "./load_results.ts";
import { parseLoadTarget } from "./load_target.ts";
import { pickPart } from "./mix.ts";
import type { MixPart } from "./mix.ts";
import { sendLoadRequest } from "./send_load_request.ts";

/**
 * Requests per second. This and the next two bounds keep mistyped options from
 * overloading the machine.
 */
const MAX_RATE = 2000;
const MAX_SECONDS = 600;
/** Milliseconds until an attempt to connect is given up. */
const CONNECT_TIMEOUT = 10_000;
/** Requests awaiting a response; further ones are counted as `unsent`. */
const MAX_OUTSTANDING = 20_000;

/** The requests to send. */
export type LoadOptions = {
  /** URL with an address in 127.0.0.0/8. */
  target: string;
  /** Average requests per second; arrivals are a Poisson process. */
  rate: number;
  seconds: number;
  mix: MixPart[];
  requestOptions: LoadRequestOptions;
  seed: number;
};

/** Sends the load and waits until every request has ended. */
export async function runLoad(options: LoadOptions): Promise<LoadSummary[]> {
  const target = parseLoadTarget(options.target);
  checkBounds(options);
  const results = new LoadResults();
  const outstanding = new Set<Promise<void>>();
  const resetCheck = new ResetCheck(() => {});
  const resetsChecked = new AbortController();
  await resetCheck.start(resetsChecked.signal);
  const agent = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: connectorWithResetErrors(
      CONNECT_TIMEOUT,
      () => resetCheck.detection,
    ),
  });
  for await (const arrival of arrivals(options)) {
    if (outstanding.size >= MAX_OUTSTANDING) {
      results.recordOutcome(arrival.name, {
        result: "unsent",
        firstByte: 0,
        total: 0,
      });
      continue;
    }
    const request = createLoadRequest(
      arrival.part,
      options.requestOptions,
      arrival.number,
    );
    const sent = sendLoadRequest(target, request, agent).then((outcome) => {
      results.recordOutcome(arrival.name, outcome);
      outstanding.delete(sent);
    });
    outstanding.add(sent);
  }
  await Promise.all(outstanding);
  resetsChecked.abort();
  await agent.close();
  return results.summaries();
}

function checkBounds({ rate, seconds }: LoadOptions): void {
  if (!(rate > 0 && rate <= MAX_RATE)) {
    throw new Error(
      `rate must be over 0 and at most ${MAX_RATE} requests per second`,
    );
  }
  if (!(seconds > 0 && seconds <= MAX_SECONDS)) {
    throw new Error(`seconds must be over 0 and at most ${MAX_SECONDS}`);
  }
}

type Arrival = { number: number; part: MixPart; name: string };

async function* arrivals(options: LoadOptions): AsyncGenerator<Arrival> {
  const random = xoroshiro128plus(options.seed);
  const start = performance.now();
  const end = start + options.seconds * 1000;
  let due = start;
  for (let number = 1;; number++) {
    due += -Math.log(1 - uniformFloat64(random)) * 1000 / options.rate;
    if (due > end) {
      return;
    }
    const wait = due - performance.now();
    if (wait > 0) {
      await setTimeout(wait);
    }
    const part = pickPart(options.mix, uniformFloat64(random));
    const name = part.tier === undefined
      ? part.kind
      : `${part.kind}/${part.tier}`;
    yield { number, part, name };
  }
}
