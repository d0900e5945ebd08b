/**
 * The platform's key-value service, metadata store and instance list, with HTTP
 * and in-memory implementations, and the claims of non-idempotent requests.
 * @module
 */
export { KeyValueStore, MAXIMUM_VALUE_BYTES } from "./key_value_store.ts";
export type {
  KeyValueEntry,
  SwapOptions,
  SwapOutcome,
  WatchOptions,
  WatchOutcome,
} from "./key_value_store.ts";
export { MemoryMetadataStore } from "./memory_metadata_store.ts";
export type { MetadataBackup } from "./memory_metadata_store.ts";
export { MetadataStore } from "./metadata_store.ts";
export type {
  ChangeBatch,
  EraStatement,
  ItemChange,
  ItemPage,
  Lease,
  LeaseRenewal,
  StoredItem,
  Transaction,
  TransactionOutcome,
  WatchPrefixOptions,
} from "./metadata_store.ts";
export { HttpClient } from "./http_client.ts";
export type { HttpCall, HttpResponse } from "./http_client.ts";
export { InstanceList, instanceSchema } from "./instance_list.ts";
export type { Instance } from "./instance_list.ts";
export { describePlatformError } from "./platform_error.ts";
export type { PlatformError, PlatformErrorReason } from "./platform_error.ts";
export { CallBudget, callBudgetOptions } from "./call_budget.ts";
export type { CallBudgetOptions } from "./call_budget.ts";
export type { HttpServiceOptions } from "./http_client.ts";
export { HttpKeyValueStore } from "./http_key_value_store.ts";
export { HttpInstanceList } from "./http_instance_list.ts";
export { MemoryKeyValueStore } from "./memory_key_value_store.ts";
export type { KeyValueBackup } from "./memory_key_value_store.ts";
export { FaultyKeyValueStore } from "./faulty_key_value_store.ts";
export type { WriteFault } from "./faulty_key_value_store.ts";
export { MemoryInstanceList } from "./memory_instance_list.ts";
export {
  moveStatusSchema,
  serverStatusSchema,
  statusSchema,
} from "./status.ts";
export type { MoveStatus, ServerStatus, Status } from "./status.ts";
export { rolloutStatusesSchema } from "./rollout_statuses.ts";
export type {
  RolloutProgressStatus,
  RolloutStatuses,
} from "./rollout_statuses.ts";
export { ClaimLedger } from "./claims/claim_ledger.ts";
export type {
  ClaimCounts,
  ClaimLedgerOptions,
  ClaimRequest,
} from "./claims/claim_ledger.ts";
export type { ClaimResult, HeldClaim } from "./claims/claim_result.ts";
export type { ClaimKey } from "./claims/claim_identity.ts";
export { MAXIMUM_RECORDED_BODY_BYTES } from "./claims/recorded_response.ts";
export type { RecordedResponse } from "./claims/recorded_response.ts";
export { claimCommitBudgetOptions } from "./claims/commit_rate_limiter.ts";
