/** Ledgers for tests, without waiting. @module */
import { setImmediate as nextTurn } from "node:timers/promises";
import { ClaimLedger } from "../../src/mod.ts";
import type {
  ClaimAnswer,
  ClaimLedgerOptions,
  ClaimRequest,
  KeyValueStore,
  PlatformError,
} from "../../src/mod.ts";
import type { Result } from "true-myth/result";

export const NOW = Date.parse("2030-01-01T00:00:00Z");
const CLAIM_TIMEOUT = 1e9;

/** Pauses take a turn of the event loop; claims don't time out. */
export function ledgerOn(
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

export function requestWith(options: Partial<ClaimRequest> = {}): ClaimRequest {
  return {
    service: "orders",
    organisation: "cafe",
    key: "swap-7",
    fingerprint: "f",
    now: NOW,
    ...options,
  };
}

/** The claim that a test holds. */
export function held(answer: Result<ClaimAnswer, PlatformError>) {
  if (answer.isErr || answer.value.kind !== "claimed") {
    throw new Error(`not claimed: ${answer}`);
  }
  return answer.value.claim;
}
