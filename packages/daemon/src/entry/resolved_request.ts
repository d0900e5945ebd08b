/** A caller's request whose service, tier and route are resolved. @module */
import type { Service } from "@sycamorepulley/configuration";
import type { Cost, HttpHeaders } from "@sycamorepulley/protocol";

/** What scheduling and dispatch need. Times are in milliseconds. */
export type ResolvedRequest = {
  service: Service;
  organisation: string;
  tier: { name: string; rank: number };
  /** On the monotonic clock. A later first token misses the tier's goal. */
  firstTokenBy?: number | undefined;
  /** Stable name of the route, for its estimates and the evidence of moves. */
  route: string;
  idempotent: boolean;
  idempotencyKey?: string | undefined;
  /** On the monotonic clock. */
  arrived: number;
  /** On the monotonic clock. */
  deadline: number;
  cost: Cost;
  prefixKey?: string | undefined;
  fingerprint: string;
  /** Fingerprints of the messages of its prompt but the last. */
  promptParts: readonly string[];
  method: string;
  path: string;
  headers: HttpHeaders;
  body: Uint8Array;
  maximumOutputTokens?: number | undefined;
};
