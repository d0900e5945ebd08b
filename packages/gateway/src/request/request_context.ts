/** What every request task works with. @module */
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { ChannelPool } from "../backend/channel_pool.ts";
import type { HeaderNames } from "../front/header_names.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { Granter } from "../peers/granter.ts";
import type { ConfigurationInForce } from "../state/gateway_configuration.ts";
import type { Closing } from "./closing.ts";
import type { TakeResend } from "./retry_budgets.ts";

/** Shared by all requests of one process. */
export type RequestContext = {
  names: HeaderNames;
  dataCentre: string;
  clock: () => number;
  random: () => number;
  log: EventLog;
  metrics: GatewayMetrics;
  granter: Granter;
  pool: ChannelPool;
  /** Resolves when requests may be resolved: at once but at a start. */
  ready: Promise<void>;
  inForce: () => ConfigurationInForce | undefined;
  /** False when what is known may be out of date. */
  current: () => boolean;
  /** The server as it is registered now; `undefined` once it may not be used. */
  server: (incarnation: string) => ServerRecord | undefined;
  closing: Closing;
  takeResend: TakeResend;
};
