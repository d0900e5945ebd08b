/**
 * Integer keys for the fields of messages, to keep them short: a grant takes 28
 * bytes with them and 53 bytes without. The numbers are part of the protocol:
 * never reuse one.
 * @module
 */

/** Field names; the position, counted from 1, is the key. Only append. */
const FIELDS = [
  "type",
  "reservation",
  "grant",
  "lapse",
  "service",
  "tierRank",
  "organisation",
  "route",
  "cost",
  "promptTokens",
  "outputTokens",
  "remaining",
  "prefixKey",
  "fingerprint",
  "suspect",
  "method",
  "path",
  "headers",
  "body",
  "reason",
  "retryAfter",
  "status",
  "sequence",
  "bytes",
  "chunks",
  "length",
  "ran",
  "running",
  "waiting",
  "limit",
  "lowestTierRank",
  "expectedWait",
  "healthy",
  "fingerprints",
  "configurationRevision",
  "revision",
  "text",
  "protocolVersion",
  "role",
  "instance",
  "dataCentre",
  "incarnation",
  "version",
  "leaving",
  "runToCompletion",
  "backendServer",
  "move",
  "evidence",
  "from",
  "to",
  "ended",
  "failed",
  "slow",
  "firstTokenRemaining",
  "storeEra",
  "configurationVersion",
  "promptParts",
  "promptPartLists",
] as const;

/** Maps field names to the integers sent; the `keyMap` option of `cbor-x`. */
export const KEY_MAP: Record<string, number> = Object.fromEntries(
  FIELDS.map((field, position) => [field, position + 1]),
);
