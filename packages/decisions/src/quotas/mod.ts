/** Rate limits of organisations. @module */
export { OrganisationQuotas } from "./organisation_quotas.ts";
export type { Quota, QuotaLeeway } from "./organisation_quotas.ts";
export { TokenBucket } from "./token_bucket.ts";
