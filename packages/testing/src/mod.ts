/**
 * Launches real processes, records the histories of calls and checks them.
 * @module
 */
export { Caller } from "./caller/caller.ts";
export type { Call, ChatCall, PlainCall } from "./caller/caller.ts";
export { checkDispatchedOnce } from "./checks/dispatched_once.ts";
export { checkNotRunRefusals } from "./checks/not_run_refusals.ts";
export { checkShedOrder, SHEDDING_REASONS } from "./checks/shed_order.ts";
export type { Violation } from "./checks/violation.ts";
export { checkCompleteResponses } from "./checks/complete_responses.ts";
export { bodyShapes, ChunkedBody, WholeBody } from "./crowd/body_shape.ts";
export type { BodyShape, CrowdSizes } from "./crowd/body_shape.ts";
export { callOnce, isServed } from "./crowd/call_once.ts";
export { Crowd } from "./crowd/crowd.ts";
export type { CrowdTarget } from "./crowd/crowd.ts";
export { playCrowd } from "./crowd/play_crowd.ts";
export type { CrowdOutcome, CrowdPlay } from "./crowd/play_crowd.ts";
export { DaemonProcess, launchDaemon } from "./fleet/daemon_process.ts";
export { EmulatedProcess } from "./fleet/emulated_process.ts";
export { EXAMPLE_TOKEN, exampleObjects } from "./fleet/example_objects.ts";
export { Fleet } from "./fleet/fleet.ts";
export { MoveFleet } from "./fleet/move_fleet.ts";
export type { MoveStatus } from "./fleet/move_fleet.ts";
export type {
  BackendOptions,
  FleetOptions,
  LaunchedBackend,
} from "./fleet/fleet.ts";
export { publishObjects } from "./fleet/publish_objects.ts";
export { entrySettings, sidecarSettings } from "./fleet/daemon_settings.ts";
export type {
  BackendServerSettings,
  DaemonSettings,
  EntrySettings,
  PlatformSettings,
  SidecarSettings,
} from "./fleet/daemon_settings.ts";
export type { CallOutcome, CallRecord } from "./history/call_record.ts";
export type { RunRecord } from "./history/run_record.ts";
export { findFreePort, loopbackHost } from "./process/find_free_port.ts";
export { LaunchedProcess } from "./process/launched_process.ts";
export type { ProcessExit } from "./process/launched_process.ts";
export {
  COMMAND_LINE_PROGRAM,
  DAEMON_PROGRAM,
  EMULATOR_PROGRAM,
} from "./process/programs.ts";
export { TemporaryDirectory } from "./process/temporary_directory.ts";
export { waitFor } from "./process/wait_for.ts";
