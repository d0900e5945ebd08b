/** Claim ledgers and requests for tests. @module */
import { setImmediate as nextTurn } from "node:timers/promises";
import { ClaimLedger } from "../../src/mod.ts";
import type {
  ClaimLedgerOptions,
  ClaimRequest,
  ClaimResult,
  KeyValueStore,
  PlatformError,
} from "../../src/mod.ts";
import type { Result } from "true-myth/result";

export const NOW = Date.parse("2030-01-01T00:00:00Z");
/** Milliseconds. */
const CLAIM_TIMEOUT = 1e9;

/** Its pauses take one turn of the event loop; its claims don't time out. */
export function createLedger(
  store: KeyValueStore,
  incarnation: string,
  options: Partial<ClaimLedgerOptions> = {},
): ClaimLedger {
  return new ClaimLedger({
    store,
    incarnation,
    commitBudget: { perSecond: 1e9, burst: 1e9 },
    claimTimeout: CLAIM_TIMEOUT,
    random: () => 0.5,
    wallClock: () => NOW,
    pause: (duration) =>
      duration === CLAIM_TIMEOUT ? new Promise(() => {}) : nextTurn(),
    ...options,
  });
}

export function createRequest(
  options: Partial<ClaimRequest> = {},
): ClaimRequest {
  return {
    service: "orders",
    organisation: "cafe",
    key: "swap-7",
    fingerprint: "f",
    now: NOW,
    ...options,
  };
}

/** Returns the held claim; throws if the request was not claimed. */
export function expectClaimed(result: Result<ClaimResult, PlatformError>) {
  if (result.isErr || result.value.kind !== "claimed") {
    throw new Error(`not claimed: ${result}`);
  }
  return result.value.claim;
}
