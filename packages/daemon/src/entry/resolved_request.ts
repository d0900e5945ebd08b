/** A caller's request once its names have been looked up. @module */
import type { Service } from "@sycamorepulley/configuration";
import type { Cost, HttpHeaders } from "@sycamorepulley/protocol";

/** All that scheduling and dispatch need; times in milliseconds. */
export type ResolvedRequest = {
  service: Service;
  organisation: string;
  tier: { name: string; rank: number };
  /** On the monotonic clock; a later first token counts as bad. */
  firstTokenBy?: number | undefined;
  /** Stable name of the call, for estimates and verdicts by route. */
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
  method: string;
  path: string;
  headers: HttpHeaders;
  body: Uint8Array;
  maximumOutputTokens?: number | undefined;
};
