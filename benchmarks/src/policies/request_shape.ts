/** A request as the cost estimator knows it. @module */
import type { Outcome } from "../model/outcome.ts";

/** The bench runs one service. */
const SERVICE = "assistant";
const BYTES_PER_TOKEN = 4;

/** What the estimate may depend on. */
export function shapeOf({ request }: Outcome) {
  return {
    service: SERVICE,
    organisation: request.organisation,
    route: request.requestClass.name,
    promptBytes: request.promptTokens * BYTES_PER_TOKEN,
  };
}
