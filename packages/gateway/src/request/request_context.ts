/** Dependencies of the tasks that run requests. @module */
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { ConnectionPool } from "../backend/connection_pool.ts";
import type { ServerProbes } from "../backend/server_probes.ts";
import type { HeaderNames } from "../front/header_names.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { GrantClient } from "../peers/grant_client.ts";
import type { ActiveConfiguration } from "../state/gateway_configuration.ts";
import type { DrainAdmission } from "./drain_admission.ts";
import type { EntryMemory } from "./entry_memory.ts";
import type { ConsumeRetry } from "./retry_budgets.ts";

/** Dependencies that all requests of a process share. */
export type RequestContext = {
  headerNames: HeaderNames;
  dataCentre: string;
  /** Data centres that lie in any of the regions. */
  dataCentresIn: (regions: readonly string[]) => string[];
  clock: () => number;
  random: () => number;
  log: EventLog;
  metrics: GatewayMetrics;
  grantClient: GrantClient;
  connectionPool: ConnectionPool;
  serverProbes: ServerProbes;
  /** Resolves once requests may be handled; pending only during the start. */
  ready: Promise<void>;
  activeConfiguration: () => ActiveConfiguration | undefined;
  /** False if the configuration in force may be out of date. */
  isConfigurationCurrent: () => boolean;
  /**
   * The current record of a server; `undefined` if it may not be sent requests
   * now.
   */
  findServer: (incarnation: string) => ServerRecord | undefined;
  /** Records that a server said in a response that it leaves. */
  recordLeaving: (incarnation: string) => void;
  drainAdmission: DrainAdmission;
  consumeRetry: ConsumeRetry;
  /** What the entry holds. */
  memory: EntryMemory;
};
