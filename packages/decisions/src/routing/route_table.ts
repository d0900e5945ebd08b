/**
 * Finds the route of a request by its host and the longest matching prefix of
 * its path. The table is built once for each configuration; a look-up costs one
 * map access for each segment of the path, regardless of the number of routes.
 * @module
 */
import type { Route } from "./route.ts";

/** The routes of one configuration. */
export class RouteTable {
  readonly #hosts = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      let prefixes = this.#hosts.get(host);
      if (prefixes === undefined) {
        prefixes = new Map();
        this.#hosts.set(host, prefixes);
      }
      prefixes.set(route.prefix, route);
    }
  }

  /**
   * Returns the route for `target` (path and query) at `host`; a port in the
   * host is ignored.
   */
  find(host: string, target: string): Route | undefined {
    const prefixes = this.#hosts.get(hostName(host));
    if (prefixes === undefined) return undefined;
    const path = pathOf(target);
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) return undefined;
      end = path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }
}

/**
 * Selects the service of a request among the targets by weight; `draw` is a
 * random number in [0, 1).
 */
export function chooseService(route: Route, draw: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let rest = draw * total;
  for (const target of route.targets) {
    rest -= target.weight;
    if (rest < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}

function hostName(host: string): string {
  const colon = host.indexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}

function pathOf(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}
