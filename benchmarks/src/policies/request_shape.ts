/** Describes a simulated request to the cost estimator. @module */
import type { Outcome } from "../model/outcome.ts";

/** Name of the only service that is simulated. */
const SERVICE = "assistant";
/** Bytes of the request's body per prompt token. */
const BYTES_PER_TOKEN = 4;

/** Returns the properties that the cost estimate may depend on. */
export function createRequestShape({ request }: Outcome) {
  return {
    service: SERVICE,
    organisation: request.organisation,
    route: request.requestClass.name,
    promptBytes: request.promptTokens * BYTES_PER_TOKEN,
  };
}
