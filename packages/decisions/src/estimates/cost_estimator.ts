/**
 * Estimates the cost of a request before it runs.
 *
 * Requests differ widely: an identification costs fifty tokens, a quote five
 * thousand. If each counted as one, an organisation that sends quotes would
 * take a hundred times its fair share, and an engine would be filled with
 * quotes.
 *
 * Prompt tokens are estimated from the size of the body and the observed bytes
 * per token. Output tokens are the mean observed for the same service, route,
 * prompt size and organisation. While observations are few, the mean is shrunk
 * towards that of the next wider group: a new organisation starts with the
 * usual cost of the route, and a new service with a medium one. Prompt sizes
 * are grouped by factors of four, to distinguish long and short requests of a
 * route.
 * @module
 */
import type { Cost } from "../queueing/waiting_reservation.ts";
import { LruMap } from "./lru_map.ts";
import { RunningMean } from "./running_mean.ts";

/**
 * Maximum number of means: at some 100 bytes each they take under a megabyte.
 */
const CAPACITY = 8192;
/** Bytes of body per token before the first observation. */
const INITIAL_BYTES_PER_TOKEN = 4;
/**
 * Output tokens of a service without observations: between an identification
 * and a quote.
 */
const INITIAL_OUTPUT_TOKENS = 256;
/** Binary digits of the prompt's size that a class spans: a factor of four. */
const PROMPT_CLASS_BITS = 2;

/** The properties of a request that its cost is estimated from. */
export type RequestShape = {
  service: string;
  organisation: string;
  route: string;
  promptBytes: number;
  /** The caller's limit on the length of the response. */
  maximumOutputTokens?: number;
};

/** Learns the cost of requests from responses. */
export class CostEstimator {
  readonly #means = new LruMap<string, RunningMean>(CAPACITY);

  /** Number of means kept. */
  get size(): number {
    return this.#means.size;
  }

  estimate(request: RequestShape): Cost {
    let outputTokens = INITIAL_OUTPUT_TOKENS;
    for (const key of groupsOf(request)) {
      const mean = this.#means.get(key);
      outputTokens = mean?.shrunkTowards(outputTokens) ?? outputTokens;
    }
    const maximum = request.maximumOutputTokens ?? Infinity;
    return {
      promptTokens: this.#promptTokens(request),
      outputTokens: Math.max(1, Math.round(Math.min(maximum, outputTokens))),
    };
  }

  /**
   * Learns from a complete response; an incomplete one does not show the cost.
   */
  observe(
    completed: RequestShape & { promptTokens?: number; outputTokens: number },
  ): void {
    for (const key of groupsOf(completed)) {
      this.#meanOf(key).observe(completed.outputTokens);
    }
    if (completed.promptTokens !== undefined && completed.promptTokens > 0) {
      const bytes = completed.promptBytes / completed.promptTokens;
      this.#meanOf(bytesKey(completed)).observe(bytes);
    }
  }

  #promptTokens(request: RequestShape): number {
    const bytesPerToken = this.#means.get(bytesKey(request))?.shrunkTowards(
      INITIAL_BYTES_PER_TOKEN,
    ) ??
      INITIAL_BYTES_PER_TOKEN;
    return Math.ceil(request.promptBytes / Math.max(0.1, bytesPerToken));
  }

  #meanOf(key: string): RunningMean {
    const existing = this.#means.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const mean = new RunningMean();
    this.#means.set(key, mean);
    return mean;
  }
}

/** Returns the keys of a request's groups, from the widest to the narrowest. */
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
