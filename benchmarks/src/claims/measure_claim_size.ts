/** Measures the size of claims in the key-value service. @module */
import { ClaimLedger, MemoryKeyValueStore } from "@sycamorepulley/store";

const CLAIMS = 20_000;
const BATCH_SIZE = 400;
const BODY_BYTES = 300;

/** Sizes are bytes. */
export type ClaimSize = {
  claims: number;
  bodyBytes: number;
  bytesPerClaim: number;
  indexBytesPerClaim: number;
  largestValue: number;
};

/** Claims many requests of one service and records their outcomes. */
export async function measureClaimSize(): Promise<ClaimSize> {
  const store = new MemoryKeyValueStore();
  const ledger = new ClaimLedger({
    store,
    commitBudget: { perSecond: 1e6, burst: 1e6 },
    batchDelay: 1,
  });
  for (let start = 0; start < CLAIMS; start += BATCH_SIZE) {
    const batch = Array.from(
      { length: BATCH_SIZE },
      (_, index) => claimAndRecord(ledger, `key-${start + index}`),
    );
    await Promise.all(batch);
  }
  await ledger.waitForDrain();
  const { entries } = store.backup();
  const sizes = entries
    .filter(([key]) => !key.includes("/index/"))
    .map(([, { value }]) => value.length);
  const indexes = entries.flatMap(([, { value }]) => {
    const indexKey: unknown = JSON.parse(value).index;
    const entry = entries.find(([key]) => key === indexKey);
    return entry === undefined ? [] : [entry[1].value.length];
  });
  return {
    claims: CLAIMS,
    bodyBytes: BODY_BYTES,
    bytesPerClaim: sum(sizes) / CLAIMS,
    indexBytesPerClaim: sum(indexes) / CLAIMS,
    largestValue: Math.max(...sizes),
  };
}

async function claimAndRecord(ledger: ClaimLedger, key: string): Promise<void> {
  const result = await ledger.claim({
    service: "bookings",
    organisation: "guild",
    key,
    fingerprint: "b".repeat(32),
    now: Date.now(),
  });
  if (result.isErr || result.value.kind !== "claimed") {
    throw new Error(`not claimed: ${key}`);
  }
  const headers = { "content-type": "application/json" };
  const body = Buffer.alloc(BODY_BYTES, "x");
  const outcome = { status: 201, headers, body };
  await ledger.record({ claim: result.value.claim, outcome });
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
