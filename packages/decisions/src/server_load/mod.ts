/** Load that backend servers report in their responses. @module */
export { figuresOf, loadOf, parseServerLoad } from "./parse_server_load.ts";
export type { ServerLoad } from "./parse_server_load.ts";
export { PaceConfirmation } from "./pace_confirmation.ts";
export { MINIMUM_PACE, ReportedLoad } from "./reported_load.ts";
export type { LoadReport } from "./reported_load.ts";
