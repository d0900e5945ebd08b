/** What a sidecar is built from. @module */
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
import type { StatedServerLimit } from "./stated_server_limit.ts";
import type { VersionGuard } from "./version_guard.ts";

/** Options of the sidecar role. */
export type SidecarOptions = {
  instance: string;
  service: string;
  desk: ReservationScheduler;
  guard: VersionGuard;
  suspects: CrashSuspects;
  client: BackendClient;
  probe: () => HealthProbe;
  /** Share of an organisation beside others, from the configuration. */
  weightOf: (organisation: string) => number;
  /** Milliseconds within which a reservation's answer must be whole. */
  timeAllowed: (reserve: ReserveMessage) => number;
  /** Milliseconds until a refused request may come back. */
  retryAfter: (now: number) => number;
  /** Milliseconds that a new reservation of the lowest tier would wait. */
  expectedWait: (now: number) => number;
  /** A whole answer; times in milliseconds from the hand-over. */
  onServed: (
    served: { cost: Cost; firstToken: number; total: number },
    now: number,
  ) => void;
  /** Messages that concern the configuration, not requests. */
  onOtherMessage: (connection: EntryConnection, message: Message) => void;
  limit: () => number;
  statedLimit: StatedServerLimit;
  metrics: Metrics;
  log: Log;
};
