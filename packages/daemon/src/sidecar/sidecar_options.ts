/** Options of the sidecar role. @module */
import type {
  CrashSuspects,
  ReservationScheduler,
} from "@sycamorepulley/decisions";
import type { Cost, Message, ReserveMessage } from "@sycamorepulley/protocol";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { BackendClient } from "./backend_client.ts";
import type { EntryConnection } from "./entry_connection.ts";
import type { HealthProbe } from "./health_probe.ts";
import type { ServerNotices } from "./server_notices.ts";
import type { StatedServerLimit } from "./stated_server_limit.ts";
import type { VersionGuard } from "./version_guard.ts";

/** Components and callbacks of a sidecar. */
export type SidecarOptions = {
  instance: string;
  service: string;
  scheduler: ReservationScheduler;
  versionGuard: VersionGuard;
  suspects: CrashSuspects;
  client: BackendClient;
  probe: () => HealthProbe;
  /** Returns the weight that the configuration gives an organisation. */
  weightOf: (organisation: string) => number;
  /** Returns the milliseconds within which a response must be complete. */
  timeAllowed: (reserve: ReserveMessage) => number;
  /** Returns the milliseconds after which a refused request may be retried. */
  retryAfter: (now: number) => number;
  /** Returns the milliseconds that a request of the lowest tier would wait. */
  expectedWait: (now: number) => number;
  /** Called after a complete response; times in ms from the hand-over. */
  onResponseComplete: (
    measurement: { cost: Cost; firstToken: number; total: number },
    now: number,
  ) => void;
  /** Called for messages that concern the configuration, not requests. */
  onOtherMessage: (connection: EntryConnection, message: Message) => void;
  /** Returns the number of requests that may run at once. */
  concurrencyLimit: () => number;
  statedServerLimit: StatedServerLimit;
  notices: ServerNotices;
  metrics: Metrics;
  log: Log;
};
