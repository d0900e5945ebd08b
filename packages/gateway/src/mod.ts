/** An entry that sends requests to backend servers directly. @module */
export { EventLog, LineSink, StandardOutputSink } from "./observe/event_log.ts";
export type { LogEvent } from "./observe/events.ts";
export type { HeaderNames } from "./front/header_names.ts";
export { Gateway } from "./gateway.ts";
export type { GatewayOptions, GatewayPorts } from "./gateway.ts";
export { gatewaySettingsSchema } from "./settings.ts";
export type { Address, GatewaySettings } from "./settings.ts";
export type {
  CallerLimits,
  GatewayConfiguration,
  Organisation,
  ServiceProperties,
} from "./state/gateway_configuration.ts";
export { RecordCodec } from "./state/record_codec.ts";
export type {
  RolloutStatus,
  StoredRollout,
  StoredServer,
} from "./state/record_codec.ts";
