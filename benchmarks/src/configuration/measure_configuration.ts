/** Measures a configuration from its file to the index in a process. @module */
import {
  checkObjects,
  ConfigurationIndex,
  decodeManifest,
  encodeManifest,
  readObjects,
} from "@sycamorepulley/configuration";
import { createHash } from "node:crypto";

const ROUNDS = 5;

/** Times are milliseconds, the median over several rounds. */
export type ConfigurationCost = {
  fileBytes: number;
  storedBytes: number;
  check: number;
  encode: number;
  /** Decoding the manifest and indexing its objects. */
  adopt: number;
  retainedBytes: number;
};

/** Measures a configuration whose organisations have one credential each. */
export function measureConfiguration(organisations: number): ConfigurationCost {
  const source = createFile(organisations);
  const now = Date.now();
  const check = measureMilliseconds(() => {
    const read = readObjects(source, "fleet.jsonc");
    const problems = read.isOk
      ? checkObjects(read.value.objects, { now, source: read.value.source })
      : read.error;
    if (problems.length > 0) {
      throw new Error(JSON.stringify(problems[0]));
    }
  });
  const publication = {
    revision: 1,
    publishId: "publish-1",
    publishedBy: "ana",
    publishedAt: now,
    changes: ["services/assistant"],
  };
  const encode = () => encodeManifest({ history: [publication], source });
  const text = encode();
  return {
    fileBytes: Buffer.byteLength(source),
    storedBytes: Buffer.byteLength(text),
    check,
    encode: measureMilliseconds(encode),
    adopt: measureMilliseconds(() => adopt(text)),
    retainedBytes: measureRetainedBytes(() => adopt(text)),
  };
}

function adopt(text: string): unknown {
  const snapshot = decodeManifest(text);
  if (snapshot.isErr) {
    throw new Error(snapshot.error);
  }
  const index = new ConfigurationIndex(snapshot.value.objects);
  return { snapshot: snapshot.value, index };
}

/**
 * Returns the heap bytes that the result of `create` retains. Measures the
 * second of two calls, since the first also compiles code.
 */
function measureRetainedBytes(create: () => unknown): number {
  const retained: unknown[] = [];
  const sizes = [0, 1].map(() => {
    const before = heapAfterCollection();
    retained.push(create());
    return heapAfterCollection() - before;
  });
  return retained.length === sizes.length ? sizes[1] ?? NaN : NaN;
}

function heapAfterCollection(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureMilliseconds(work: () => unknown): number {
  const times = Array.from({ length: ROUNDS }, () => {
    const start = performance.now();
    work();
    return performance.now() - start;
  });
  times.sort((left, right) => left - right);
  return times[ROUNDS >> 1] ?? NaN;
}

function createFile(organisations: number): string {
  const tiers = ["urgent", "high", "standard", "low", "batch"];
  const services = ["assistant", "quotes", "tags", "orders", "bookings"];
  return JSON.stringify(
    {
      tiers: tiers.map((name, rank) => ({
        name,
        rank,
        defaultDeadline: 60_000,
      })),
      services: services.map((name) => ({
        name,
        kind: "model",
        models: [`${name}-model`],
        defaultTier: "standard",
      })),
      organisations: Array.from({ length: organisations }, (_, index) => ({
        name: `organisation-${index}`,
        credentials: [
          createHash("sha256").update(`token-${index}`).digest("hex"),
        ],
        services: services.slice(0, 3),
        tiers: tiers.slice(0, 3),
      })),
    },
    null,
    2,
  );
}
