/**
 * Emulated model engines, plain services and platform services, and load.
 * @module
 */
export {
  findMarker,
  isCompleteText,
  markedText,
} from "./markers/marked_text.ts";
export { startEngine } from "./engine/start_engine.ts";
export type { EngineSettingsInput } from "./engine/engine_settings.ts";
export { faultsSchema } from "./faults/faults.ts";
export type { Faults, FaultsInput } from "./faults/faults.ts";
export { historyRecordSchema } from "./history/history_record.ts";
export type { HistoryRecord } from "./history/history_record.ts";
export { startInstanceList, startKeyValueStore } from "./platform/mod.ts";
export { startPlainService } from "./plain/start_plain_service.ts";
export type { PlainSettingsInput } from "./plain/plain_settings.ts";
export type { BackendServer } from "./server/backend_server.ts";
export type { EmulatedServer } from "./server/emulated_server.ts";
export { formatLoadSummaries } from "./load/format_load_summaries.ts";
export type { LoadRequestOptions } from "./load/load_request.ts";
export type { LoadSummary, Percentiles } from "./load/load_results.ts";
export { playDay, readDay } from "./load/day.ts";
export type { Day, DayLoadResult, DayTarget } from "./load/day.ts";
export { parseMix } from "./load/mix.ts";
export { runLoad } from "./load/run_load.ts";
export type { LoadOptions } from "./load/run_load.ts";
