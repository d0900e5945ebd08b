/** The fleet of the demonstration. @module */
import type { FleetOptions } from "../fleet/fleet.ts";

/** Two entries, three engines of different speeds and two booking services. */
export const DEMO_FLEET: FleetOptions = {
  entries: 2,
  backends: [
    ...[0.5, 1, 2].map((speed) => ({
      kind: "model" as const,
      service: "assistant",
      version: "assistant-1",
      options: { speed },
    })),
    ...[10, 20].map((callTime) => ({
      kind: "plain" as const,
      service: "bookings",
      version: "bookings-1",
      options: { callTime },
    })),
  ],
};
