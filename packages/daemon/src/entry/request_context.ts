/** What request tasks depend on, and how they end. @module */
import type { WaitingRequestLimiter } from "@sycamorepulley/decisions";
import type { Metrics } from "../common/metrics.ts";
import type { MoveController } from "../moves/move_controller.ts";
import type { Refusal } from "./refusal.ts";
import type { ResolvedRequest } from "./resolved_request.ts";
import type { ServiceState } from "./service_state.ts";
import type { SessionPool } from "./session_pool.ts";

/** Dependencies that all request tasks of an entry share. */
export type RequestContext = {
  serviceState: (service: string) => ServiceState;
  sessionPool: SessionPool;
  waitingLimiter: WaitingRequestLimiter;
  versionChooser: VersionChooser;
  metrics: Metrics;
  random: () => number;
  /** Called after a complete response of `bytes` bytes, for cost estimates. */
  onResponseComplete: (
    request: ResolvedRequest,
    bytes: number,
    now: number,
  ) => void;
};

/** Chooses the version of each request and is told how the request ended. */
export type VersionChooser = Pick<
  MoveController,
  "chooseVersion" | "recordCall" | "recordNotRun"
>;

/** How a request ended. A refusal says why there is no complete response. */
export type RequestOutcome =
  | { kind: "answered"; status: number }
  | { kind: "refused"; refusal: Refusal; responseStarted: boolean }
  | { kind: "callerDisconnected"; ran: Refusal["ran"] };
