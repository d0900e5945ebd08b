/** What request tasks share, and how they end. @module */
import type { WaitingRequestLimiter } from "@sycamorepulley/decisions";
import type { Metrics } from "../common/metrics.ts";
import type { MoveController } from "../moves/move_controller.ts";
import type { Refusal } from "./refusal.ts";
import type { ResolvedRequest } from "./resolved_request.ts";
import type { ServiceDesk } from "./service_desk.ts";
import type { SessionPool } from "./session_pool.ts";

/** What every request task of an entry shares. */
export type RequestSurroundings = {
  desk: (service: string) => ServiceDesk;
  sessions: SessionPool;
  allowance: WaitingRequestLimiter;
  moves: VersionChooser;
  metrics: Metrics;
  random: () => number;
  /** A whole answer's tokens and time, for the estimates. */
  onAnswered: (
    request: ResolvedRequest,
    bytes: number,
    now: number,
  ) => void;
};

/** Gives each request its version and hears what became of it. */
export type VersionChooser = Pick<
  MoveController,
  "chooseVersion" | "recordCall" | "recordNotRun"
>;

/** How a request ended; the reason says why it was not answered whole. */
export type RequestOutcome =
  | { kind: "answered"; status: number }
  | { kind: "refused"; refusal: Refusal; begun: boolean }
  | { kind: "callerLeft"; ran: Refusal["ran"] };
