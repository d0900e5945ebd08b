/** From a request's host and path to its service. @module */
export { mayRepeat } from "./route.ts";
export type { Repeatability, Route, RouteTarget } from "./route.ts";
export { chooseTarget, RouteTable } from "./route_table.ts";
