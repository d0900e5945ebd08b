/** A small example configuration for tests and the demonstration. @module */
import type { ConfigurationObjects } from "@sycamorepulley/configuration";
import { createHash } from "node:crypto";

/** Bearer token of the example organisation. */
export const EXAMPLE_TOKEN = "example-token";

/** One organisation, an assistant on model engines and a booking service. */
export function exampleObjects(): ConfigurationObjects {
  return {
    tiers: [
      { name: "urgent", rank: 0, defaultDeadline: 30_000 },
      { name: "standard", rank: 1, defaultDeadline: 60_000 },
      { name: "batch", rank: 2, defaultDeadline: 120_000 },
    ],
    services: [
      {
        name: "assistant",
        kind: "model",
        models: ["assistant"],
        defaultTier: "standard",
        routes: [],
        bounds: EXAMPLE_BOUNDS,
        initialConcurrency: 4,
        idempotencyRetention: 3_600_000,
      },
      {
        name: "bookings",
        kind: "plain",
        models: [],
        defaultTier: "standard",
        routes: [
          { method: "GET", path: "/bookings/*", idempotent: true },
          { method: "POST", path: "/bookings", idempotent: false },
        ],
        bounds: EXAMPLE_BOUNDS,
        initialConcurrency: 4,
        idempotencyRetention: 3_600_000,
      },
    ],
    organisations: [
      {
        name: "example",
        credentials: [sha256(EXAMPLE_TOKEN)],
        services: ["assistant", "bookings"],
        tiers: ["urgent", "standard", "batch"],
        weight: 1,
      },
    ],
    versions: [
      { name: "assistant-1", service: "assistant", live: true },
      { name: "bookings-1", service: "bookings", live: true },
    ],
    moves: [],
    evacuations: [],
  };
}

const EXAMPLE_BOUNDS = {
  bodyBytes: 1024 * 1024,
  answerBytes: 16 * 1024 * 1024,
  waitingAtEntry: 2000,
  waitingBytesAtEntry: 64 * 1024 * 1024,
  waitingAtSidecar: 2000,
};

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
