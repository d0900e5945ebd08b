/**
 * Short integer keys for the messages' fields: a grant takes 28 bytes with
 * them and 53 without. The numbers are part of the protocol: never reuse one.
 * @module
 */

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
] as const;

/** Field name to wire key, as `cbor-x` takes it. */
export const KEY_MAP: Record<string, number> = Object.fromEntries(
  FIELDS.map((field, position) => [field, position + 1]),
);
