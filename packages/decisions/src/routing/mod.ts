/** Maps a request's host and path to its route and service. @module */
export { isRepeatable } from "./route.ts";
export type { Repeatability, Route, RouteTarget } from "./route.ts";
export { chooseService, RouteTable } from "./route_table.ts";
