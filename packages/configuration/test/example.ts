/** A small valid configuration file, shared by the tests. @module */
import { createHash } from "node:crypto";
import { readObjects } from "../src/mod.ts";
import type { ObjectsFile } from "../src/mod.ts";

export const NOW = Date.parse("2030-01-01T00:00:00Z");

export function hashOf(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

export const EXAMPLE = `{
  // Served first.
  "tiers": [
    { "name": "urgent", "rank": 0, "defaultDeadline": 5000 },
    { "name": "batch", "rank": 1, "defaultDeadline": 60000 },
  ],
  "services": [
    { "name": "assistant", "kind": "model", "models": ["tea-1"], "defaultTier": "urgent" },
    {
      "name": "orders", "kind": "plain", "defaultTier": "urgent",
      "routes": [
        { "method": "POST", "path": "/orders/*", "idempotent": false },
        { "method": "POST", "path": "/orders/search", "idempotent": true, "tier": "batch" }
      ]
    }
  ],
  "organisations": [
    {
      "name": "cafe", "credentials": ["${hashOf("token")}"],
      "services": ["assistant", "orders"], "tiers": ["batch"]
    }
  ],
  "versions": [
    { "name": "v1", "service": "assistant", "live": true },
    { "name": "v2", "service": "assistant" }
  ],
  "moves": [
    { "name": "to-v2", "service": "assistant", "from": "v1", "to": "v2", "deadline": "2030-01-01T01:00:00Z" }
  ]
}`;

/** Reads a text that must match the schema. */
export function readExample(text: string): ObjectsFile {
  const read = readObjects(text, "fleet.jsonc");
  if (read.isErr) {
    throw new Error(JSON.stringify(read.error));
  }
  return read.value;
}
