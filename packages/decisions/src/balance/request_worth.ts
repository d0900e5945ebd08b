/**
 * What a response is worth, in timely responses of mean size on the most urgent
 * route of its service, and what sending a request to another data centre
 * costs.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";

/** Value of a late response, as a fraction of a timely one's. */
export const LATE_FRACTION = 0.4;
/** Bytes of a response for each token of output, with its framing. */
const BYTES_PER_OUTPUT_TOKEN = 10;
/** Bytes of the header fields of a request and its response. */
const HEADER_BYTES = 300;
/** Bytes of a body for each prompt token, until some were observed. */
const INITIAL_BYTES_PER_PROMPT_TOKEN = 2;
/** Bytes of a body without prompt tokens whose size is unknown. */
const PLAIN_BODY_BYTES = 1000;
/** Weight of the newest body in the mean, which covers about the last 50. */
const NEWEST_WEIGHT = 0.02;
const BYTES_PER_MEGABYTE = 1e6;

/** Learns how large the bodies of a service's requests are. */
export class TransferSize {
  #bytesPerPromptToken = INITIAL_BYTES_PER_PROMPT_TOKEN;

  observe(cost: Cost, bodyBytes: number | undefined): void {
    if (bodyBytes === undefined || cost.promptTokens === 0) return;
    const ratio = bodyBytes / cost.promptTokens;
    this.#bytesPerPromptToken += NEWEST_WEIGHT *
      (ratio - this.#bytesPerPromptToken);
  }

  /** Returns the expected bytes of a request and its response. */
  bytesOf(cost: Cost, bodyBytes: number | undefined): number {
    const body = bodyBytes ??
      (cost.promptTokens === 0
        ? PLAIN_BODY_BYTES
        : cost.promptTokens * this.#bytesPerPromptToken);
    return body + cost.outputTokens * BYTES_PER_OUTPUT_TOKEN + HEADER_BYTES;
  }
}

/** Cost of a transfer, in the unit of values; `price` is for a megabyte. */
export function transferCost(bytes: number, price: number): number {
  return bytes === 0 ? 0 : bytes / BYTES_PER_MEGABYTE * price;
}
