/**
 * What a request will cost, guessed before it runs.
 *
 * Load pattern: an identification of fifty tokens beside a quote of five
 * thousand. Counted as one each, the organisation that sends quotes takes a
 * hundred times its share, and an engine is filled with quotes.
 *
 * Prompt tokens follow from the body's size and the service's measured bytes per
 * token. Output tokens are the mean seen for the same service, route, size of
 * prompt and organisation, drawn towards the wider group's while observations
 * are few: a new organisation starts with what the route usually costs, and a
 * new service with a middling guess. Sizes of prompt are grouped by factors of
 * four, so that long and short requests of one route are told apart.
 * @module
 */
import type { Cost } from "../queueing/waiting_reservation.ts";
import { BoundedMap } from "./lru_map.ts";
import { RunningMean } from "./running_mean.ts";

/** Means kept; each is some 100 bytes, so a process holds under a megabyte. */
const CAPACITY = 8192;
/** Bytes of body to a token, until the service has been measured. */
const COLD_BYTES_PER_TOKEN = 4;
/** Output of a service never seen: between an identification and a quote. */
const COLD_OUTPUT_TOKENS = 256;
const PROMPT_CLASS_BITS = 2;

/** A request, as far as its cost depends on it. */
export type RequestShape = {
  service: string;
  organisation: string;
  route: string;
  promptBytes: number;
  /** The caller's own bound on the answer. */
  maximumOutputTokens?: number;
};

/** See the module. */
export class CostEstimator {
  readonly #means = new BoundedMap<string, RunningMean>(CAPACITY);

  /** Means held; bounded. */
  get size(): number {
    return this.#means.size;
  }

  estimate(request: RequestShape): Cost {
    let outputTokens = COLD_OUTPUT_TOKENS;
    for (const key of groupsOf(request)) {
      const mean = this.#means.get(key);
      outputTokens = mean?.drawnTowards(outputTokens) ?? outputTokens;
    }
    const most = request.maximumOutputTokens ?? Infinity;
    return {
      promptTokens: this.#promptTokens(request),
      outputTokens: Math.max(1, Math.round(Math.min(most, outputTokens))),
    };
  }

  /** Learns from an answer that is whole; cut answers say nothing. */
  observe(
    answered: RequestShape & { promptTokens?: number; outputTokens: number },
  ): void {
    for (const key of groupsOf(answered)) {
      this.#meanOf(key).observe(answered.outputTokens);
    }
    if (answered.promptTokens !== undefined && answered.promptTokens > 0) {
      const bytes = answered.promptBytes / answered.promptTokens;
      this.#meanOf(bytesKey(answered)).observe(bytes);
    }
  }

  #promptTokens(request: RequestShape): number {
    const bytesPerToken =
      this.#means.get(bytesKey(request))?.drawnTowards(COLD_BYTES_PER_TOKEN) ??
        COLD_BYTES_PER_TOKEN;
    return Math.ceil(request.promptBytes / Math.max(0.1, bytesPerToken));
  }

  #meanOf(key: string): RunningMean {
    const known = this.#means.get(key);
    if (known !== undefined) {
      return known;
    }
    const mean = new RunningMean();
    this.#means.set(key, mean);
    return mean;
  }
}

/** From the widest group to the narrowest. */
function groupsOf(request: RequestShape): string[] {
  const { service, route, organisation } = request;
  const bits = Math.floor(Math.log2(Math.max(1, request.promptBytes)));
  const promptClass = Math.floor(bits / PROMPT_CLASS_BITS);
  return [
    `${service}`,
    `${service} ${route}`,
    `${service} ${route} ${promptClass}`,
    `${service} ${route} ${promptClass} ${organisation}`,
  ];
}

function bytesKey(request: RequestShape): string {
  return `${request.service} ${request.route} bytes`;
}
