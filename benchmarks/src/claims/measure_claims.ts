/**
 * Measures claims at a steady rate of requests, spread over several ledgers.
 * @module
 */
import { startKeyValueStore } from "@sycamorepulley/emulator";
import {
  claimCommitBudgetOptions,
  ClaimLedger,
  HttpKeyValueStore,
} from "@sycamorepulley/store";
import { setTimeout as sleep } from "node:timers/promises";

/** Milliseconds for which requests are sent. */
const DURATION = 5000;
/** Milliseconds between the times at which due requests are sent. */
const SEND_INTERVAL = 20;
/** Milliseconds that a request runs before its outcome is recorded. */
const REQUEST_DURATION = 100;
const OUTCOME = {
  status: 201,
  headers: { "content-type": "application/json" },
  body: Buffer.alloc(300, "x"),
};

/** Cost of one case. `median` and `percentile99` are milliseconds. */
export type ClaimCost = {
  claimed: number;
  refused: number;
  writesPerSecond: number;
  readsPerSecond: number;
  callsPerRequest: number;
  median: number;
  percentile99: number;
};

/** Runs one case, in which all keys are new. */
export async function measureClaims(
  options: { ledgers: number; perSecond: number },
): Promise<ClaimCost> {
  const server = await startKeyValueStore();
  const stores = Array.from(
    { length: options.ledgers },
    () => new HttpKeyValueStore({ url: server.url }),
  );
  const ledgers = stores.map((store) =>
    new ClaimLedger({
      store,
      commitBudget: claimCommitBudgetOptions(3 * options.ledgers),
    })
  );
  const waitTimes = await sendRequests(ledgers, options.perSecond);
  const counts = await (await fetch(`${server.url}/counts`)).json() as {
    reads: number;
    writes: number;
  };
  await Promise.all(stores.map((store) => store.close()));
  await server.close();
  const claimed = waitTimes.filter((wait) => wait !== undefined);
  claimed.sort((left, right) => left - right);
  return {
    claimed: claimed.length,
    refused: waitTimes.length - claimed.length,
    writesPerSecond: counts.writes / (DURATION / 1000),
    readsPerSecond: counts.reads / (DURATION / 1000),
    callsPerRequest: (counts.reads + counts.writes) / waitTimes.length,
    median: claimed[Math.floor(claimed.length / 2)] ?? NaN,
    percentile99: claimed[Math.floor(claimed.length * 0.99)] ?? NaN,
  };
}

async function sendRequests(
  ledgers: ClaimLedger[],
  perSecond: number,
): Promise<(number | undefined)[]> {
  const requests: Promise<number | undefined>[] = [];
  const start = performance.now();
  while (performance.now() - start < DURATION) {
    const due = ((performance.now() - start) / 1000) * perSecond;
    while (requests.length < due) {
      const ledger = ledgers[requests.length % ledgers.length];
      if (ledger !== undefined) {
        requests.push(runRequest(ledger, `key-${requests.length}`));
      }
    }
    await sleep(SEND_INTERVAL);
  }
  const waitTimes = await Promise.all(requests);
  await Promise.all(ledgers.map((ledger) => ledger.waitForDrain()));
  return waitTimes;
}

/**
 * Returns the milliseconds until the claim was granted, `undefined` if it was
 * refused.
 */
async function runRequest(
  ledger: ClaimLedger,
  key: string,
): Promise<number | undefined> {
  const start = performance.now();
  const result = await ledger.claim({
    service: "bookings",
    organisation: "guild",
    key,
    fingerprint: "b".repeat(32),
    now: Date.now(),
  });
  const wait = performance.now() - start;
  if (result.isErr || result.value.kind !== "claimed") {
    return undefined;
  }
  const { claim } = result.value;
  await sleep(REQUEST_DURATION);
  void ledger.record({ claim, outcome: OUTCOME });
  return wait;
}
